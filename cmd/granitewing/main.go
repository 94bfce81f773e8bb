// Command granitewing is one dispatcher on real sockets. Without arguments the environment tells it where its
// configuration is; its verbs are for other installations.
package main

import "granitewing/internal/cli"

func main() { cli.Main("granitewing") }
