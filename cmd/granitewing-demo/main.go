// Command granitewing-demo runs the whole system on loopback addresses with stand-ins for the workers, and shows how a
// message is accepted, delivered and queried. Its argument is the path of the built granitewing-system program.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"granitewing/internal/system/demo"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: granitewing-demo PROGRAM")
		os.Exit(2)
	}
	if err := run(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, "granitewing-demo:", err)
		os.Exit(1)
	}
}

func run(program string) error {
	binary, err := filepath.Abs(program)
	if err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "granitewing-demo-")
	if err != nil {
		return err
	}
	return demo.Run(context.Background(), demo.Options{Binary: binary, Folder: folder, Output: os.Stdout})
}
