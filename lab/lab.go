// Package lab embeds the experiment files that ship with the laboratory.
package lab

import "embed"

// Files holds the shipped experiments; the file of experiment NAME is NAME.sexp.
//
//go:embed *.sexp
var Files embed.FS
