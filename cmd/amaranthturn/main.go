// Command amaranthturn is the weight distribution system: its daemons, the client
// for operators, and the local mode.
package main

import (
	"os"

	"amaranthturn/cmd/amaranthturn/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
}
