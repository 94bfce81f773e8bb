// Command granitewing-system is the complete ingest and dispatch service. The first argument is a subcommand: the role to
// run, or an operator's command.
package main

import (
	"os"

	"granitewing/internal/system/command"
)

func main() { os.Exit(command.Execute(os.Args[1:], os.Stdout, os.Stderr)) }
