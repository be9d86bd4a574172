// Command rattanlever dispatches sub-second tasks; see README.md.
package main

import (
	"os"

	"github.com/rattanlever/rattanlever/rattancmd"
)

func main() {
	os.Exit(rattancmd.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
