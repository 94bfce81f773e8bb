#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. It needs the standard library only and no network.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o review/bin/harness ./review/harness
