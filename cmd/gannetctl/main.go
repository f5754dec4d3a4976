// Command gannetctl is the operators' command line.
package main

import (
	"os"

	"github.com/gannetwell/gannetwell/cmd/gannetctl/cmds"
)

func main() { cmds.New(os.Stdin, os.Stdout, os.Stderr).Main() }
