// Command granitewing is one dispatcher on real sockets. The environment tells it where its configuration is.
package main

import (
	"log"
	"os"

	"granitewing/internal/lifecycle"
)

func main() {
	logger := log.New(os.Stderr, "granitewing: ", log.LstdFlags|log.Lmicroseconds)
	if err := lifecycle.Run(os.Getenv, logger.Printf); err != nil {
		logger.Fatal(err)
	}
}
