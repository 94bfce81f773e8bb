//go:build review

package main

import (
	"fmt"
	"os"
)

// cases holds the cases by name. Each returns 1 if the rule was broken, 0 if it held, and 2 if it could not run.
var cases = map[string]func(record *record, trouble bool) int{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: harness CASE RECORD")
		os.Exit(2)
	}
	os.Exit(cases[os.Args[1]](newRecord(os.Args[2]), os.Getenv("TROUBLE") != "0"))
}
