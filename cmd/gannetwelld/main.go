// Command gannetwelld is the entry daemon.
package main

import (
	"os"

	"github.com/gannetwell/gannetwell/cmd/gannetwelld/cmds"
)

func main() { cmds.New(os.Stdout, os.Stderr).Main() }
