// Command dogwoodhitch-platform runs dogwoodhitch on Cairnpass's platform.
package main

import (
	"os"

	"dogwoodhitch/platform"
)

func main() { os.Exit(platform.Main(os.Stdout)) }
