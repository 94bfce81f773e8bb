// Command granitewing is a single dispatcher. Without arguments it reads its configuration from the file that the
// environment names, as the platform starts it; its verbs are for other installations.
package main

import "granitewing/internal/cli"

func main() { cli.Main("granitewing") }
