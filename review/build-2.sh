#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 4 to 8 start. It needs the standard library only and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -tags review -o target/review-2/harness ./review/harness-2
