// Command gannetbench runs simulated deployments, the demo and the measurements.
package main

import (
	"os"

	"github.com/gannetwell/gannetwell/cmd/gannetbench/cmds"
)

func main() { cmds.New(os.Stdout, os.Stderr).Main() }
