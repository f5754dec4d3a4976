// Package cli holds what gannetwelld, gannetctl and gannetbench share: exit codes,
// command-line parsing and the reporting of errors on standard error.
package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/version"
)

// The exit codes of the programs.
const (
	ExitOK       = 0
	ExitFailed   = 1 // the command failed
	ExitUsage    = 2 // invalid command line
	ExitInvalid  = 3 // a file or an edit failed validation
	ExitConflict = 4 // rows changed since they were read
	ExitUnknown  = 5 // the edit may or may not have been accepted
)

// ErrExit is an error with the exit code that the program ends with.
type ErrExit struct {
	Code  int
	Cause error
}

// Error returns the message of the cause.
func (e ErrExit) Error() string { return e.Cause.Error() }

// WithExitCode attaches an exit code to an error; a nil cause stays nil.
func WithExitCode(code int, cause error) error {
	if cause == nil {
		return nil
	}
	return ErrExit{Code: code, Cause: cause}
}

// Program is a command-line program with its subcommands.
type Program struct {
	Name          string
	Summary       string
	GlobalOptions any // struct with the options of all commands, may be nil
	Stdout        io.Writer
	Stderr        io.Writer
	AddCommands   func(p *flags.Parser) error // adds the subcommands to the parser
}

// versionOption declares --version for the help text; Run handles the flag before parsing.
type versionOption struct {
	Version bool `long:"version" description:"Print the version and exit"`
}

// Parser returns the program's parser with all subcommands.
func (p *Program) Parser() (parser *flags.Parser, err error) {
	defer func() { err = errors.Wrap(err, "build command-line parser") }()
	parser = flags.NewNamedParser(p.Name, flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = p.Summary
	parser.LongDescription = p.Summary
	parser.SubcommandsOptional = true
	if _, err := parser.AddGroup("Program Options", "", &versionOption{}); err != nil {
		return nil, err
	}
	if p.GlobalOptions != nil {
		if _, err := parser.AddGroup("Connection Options", "", p.GlobalOptions); err != nil {
			return nil, err
		}
	}
	return parser, p.AddCommands(parser)
}

// Run parses the arguments, runs the command and returns the exit code.
func (p *Program) Run(args []string) (code int) {
	if len(args) == 1 && args[0] == "--version" {
		_, _ = fmt.Fprintln(p.Stdout, p.Name, version.Version)
		return ExitOK
	}
	parser, err := p.Parser()
	if err != nil {
		return p.fail(err)
	}
	_, err = parser.ParseArgs(args)
	var flagErr *flags.Error
	switch {
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(p.Stdout, flagErr.Message)
		return ExitOK
	case errors.As(err, &flagErr):
		_, _ = fmt.Fprintln(p.Stderr, p.Name+":", flagErr.Message)
		return ExitUsage
	case err != nil:
		return p.fail(err)
	case parser.Active == nil:
		parser.WriteHelp(p.Stderr)
		return ExitUsage
	}
	return ExitOK
}

func (p *Program) fail(err error) int {
	_, _ = fmt.Fprintln(p.Stderr, p.Name+":", err)
	var exit ErrExit
	if errors.As(err, &exit) {
		return exit.Code
	}
	return ExitFailed
}

// Main runs the program with the process's arguments and exits with its code.
func (p *Program) Main() { os.Exit(p.Run(os.Args[1:])) }
