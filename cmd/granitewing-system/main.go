// Command granitewing-system is the whole ingest and dispatch service: one binary, with the role as its subcommand.
package main

import (
	"os"

	"granitewing/internal/system/command"
)

func main() { os.Exit(command.Execute(os.Args[1:], os.Stdout, os.Stderr)) }
