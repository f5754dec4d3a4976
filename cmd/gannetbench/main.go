// Command gannetbench runs stand-ins, the demo and experiments.
package main

import (
	"os"

	"github.com/gannetwell/gannetwell/cmd/gannetbench/cmds"
)

func main() { cmds.New(os.Stdout, os.Stderr).Main() }
