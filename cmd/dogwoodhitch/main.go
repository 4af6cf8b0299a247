// Command dogwoodhitch steers traffic across regions.
package main

import (
	"os"

	"dogwoodhitch/io/dhcommand"
)

func main() { os.Exit(dhcommand.Main(os.Args, os.Stdout, os.Stderr)) }
