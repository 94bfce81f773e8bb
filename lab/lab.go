// Package lab holds the experiments that ship with the laboratory.
package lab

import "embed"

// Files are the shipped experiments, NAME.sexp each.
//
//go:embed *.sexp
var Files embed.FS
