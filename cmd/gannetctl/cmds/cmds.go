// Package cmds holds the subcommands of gannetctl. Each parses its flags, calls the
// operators' API of an entry through service/client and prints the response.
package cmds

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/cli"
	"github.com/gannetwell/gannetwell/service/api"
	"github.com/gannetwell/gannetwell/service/client"
)

// console holds the connection options and the standard streams that all commands share.
type console struct {
	Entry string `long:"entry" env:"GANNETWELL_ENTRY" value-name:"URL" default:"http://127.0.0.1:7080" description:"Operators' address of an entry"`
	Token string `long:"token" env:"GANNETWELL_TOKEN" value-name:"TOKEN" description:"Bearer token of the operator"`
	CA    string `long:"ca" env:"GANNETWELL_CA" value-name:"FILE" description:"Authorities of the entry's certificate, PEM"`

	stdin          io.Reader
	stdout, stderr io.Writer
}

const (
	callTimeout     = 15 * time.Second
	maxEditAttempts = 3
	retryInterval   = 250 * time.Millisecond
)

// New returns the gannetctl program.
func New(stdin io.Reader, stdout, stderr io.Writer) *cli.Program {
	c := &console{stdin: stdin, stdout: stdout, stderr: stderr}
	return &cli.Program{
		Name: "gannetctl", Summary: "The operators' command line.",
		GlobalOptions: c, Stdout: stdout, Stderr: stderr,
		AddCommands: func(p *flags.Parser) error { return addCommands(p, c) },
	}
}

// subcommand describes a command, its options and its nested subcommands.
type subcommand struct {
	name, short, long string
	data              any
	subcommands       []subcommand
}

// noOptions is the data of a command that only groups subcommands.
type noOptions struct{}

func addCommands(p *flags.Parser, c *console) error { return addSubcommands(p.Command, commands(c)) }

func addSubcommands(parent *flags.Command, subs []subcommand) error {
	for _, s := range subs {
		data := s.data
		if data == nil {
			data = &noOptions{}
		}
		cmd, err := parent.AddCommand(s.name, s.short, s.long, data)
		if err != nil {
			return err
		}
		if err := addSubcommands(cmd, s.subcommands); err != nil {
			return err
		}
	}
	return nil
}

func commands(c *console) []subcommand {
	return []subcommand{
		{name: "check", short: "Check a table file", long: "Checks a table file by itself, without an entry; exits with 3 when it is not valid.\n\nExample:\n  gannetctl check -f _fixtures/aula-pampa.jsonc", data: &checkCommand{console: c}},
		{name: "table", short: "Read and change the table", long: "Reads and changes the table.", subcommands: tableCommands(c)},
		{name: "wave", short: "Maintenance waves", long: "Starts and steers maintenance waves.", subcommands: waveCommands(c)},
		{name: "audit", short: "Search the audit trail", long: "Prints who or what changed which row, why and on which evidence, the newest first.\n\nExamples:\n  gannetctl audit --kind vm --name w07\n  gannetctl audit --actor maria --since 24h", data: &auditCommand{console: c}},
		{name: "explain", short: "Say why something is where it is", long: "Tells in sentences where a VM, pool, job or wave is, why, and what it waits for; or why a request failed, by the ID in its answer, asked of the entry that its answer names.\n\nExamples:\n  gannetctl explain vm w07\n  gannetctl explain pool live-rooms\n  gannetctl explain request 554c60245c27f4f779e40801", data: &explainCommand{console: c}},
		{name: "job", short: "Jobs of the job service", long: "Asks about jobs of the job service.", subcommands: jobCommands(c)},
		{name: "pool", short: "Pools of the job service", long: "Asks about pools of the job service.", subcommands: poolCommands(c)},
		{name: "owner", short: "Owners of shards", long: "Asks which entry owns what.", subcommands: ownerCommands(c)},
		{name: "account", short: "Client accounts", long: "Asks what client accounts have been promised and what they have running.", subcommands: accountCommands(c)},
		{name: "zone", short: "Availability zones", long: "Asks which zones are out of use.", subcommands: zoneCommands(c)},
		{name: "token", short: "Make an operator's token", long: "Prints a fresh token and the token_sha256 that settings keep of it.\n\nExample:\n  gannetctl token", data: &tokenCommand{console: c}},
	}
}

// client returns an API client for the configured entry.
func (c *console) client() (*client.Client, error) {
	h := &http.Client{Timeout: callTimeout}
	if c.CA != "" {
		pem, err := os.ReadFile(c.CA)
		if err != nil {
			return nil, errors.Wrap(err, "read CA file")
		}
		roots := x509.NewCertPool()
		if !roots.AppendCertsFromPEM(pem) {
			return nil, errors.Errorf("CA file %s contains no PEM certificate", c.CA)
		}
		h.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}}
	}
	return client.New(c.Entry, c.Token, client.WithHTTP(h)), nil
}

// printf writes formatted text to standard output.
func (c *console) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(c.stdout, format, args...)
}

// printJSON writes a value to standard output as indented JSON.
func (c *console) printJSON(v any) error {
	raw, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	c.printf("%s\n", raw)
	return nil
}

// newID returns a random ID, used for edits and tokens.
func newID() string {
	raw := make([]byte, 12)
	_, _ = rand.Read(raw) // never returns an error
	return "ctl-" + hex.EncodeToString(raw)
}

// edit submits an edit. When the outcome is unknown it sends the edit again under the
// same ID, which the entry deduplicates.
func (c *console) edit(reason string, changes []api.RowChange) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	q := api.EditRequest{ID: newID(), Reason: reason, Changes: changes}
	maybeAccepted := false // an earlier attempt had an unknown outcome
	for attempt := 1; ; attempt++ {
		result, err := cl.Edit(context.Background(), q)
		if err == nil {
			c.printf("accepted as revision %d, edit %s\n", result.Revision, result.EditID)
			return nil
		}
		code := errorCode(err)
		maybeAccepted = maybeAccepted || code == api.ErrorCodeUnknown
		if code != api.ErrorCodeUnknown && code != api.ErrorCodeNotDone {
			return withExitCode(err)
		}
		if attempt == maxEditAttempts && maybeAccepted {
			return cli.WithExitCode(cli.ExitUnknown, errors.Wrapf(err, "edit %s may have been accepted, see gannetctl audit", q.ID))
		}
		if attempt == maxEditAttempts {
			return cli.WithExitCode(cli.ExitFailed, errors.Wrap(err, "nothing was written, try again later"))
		}
		time.Sleep(retryInterval)
	}
}

// errorCode returns the API's code of a failed edit; without a response the outcome is unknown.
func errorCode(err error) api.ErrorCode {
	var failure client.ErrAPI
	if !errors.As(err, &failure) {
		return api.ErrorCodeUnknown
	}
	return failure.Body.Code
}

// withExitCode attaches the exit code that matches an API error.
func withExitCode(err error) error {
	var failure client.ErrAPI
	if !errors.As(err, &failure) {
		return err
	}
	switch failure.Body.Code {
	case api.ErrorCodeConflict:
		return cli.WithExitCode(cli.ExitConflict, err)
	case api.ErrorCodeRejected, api.ErrorCodeNoChange, api.ErrorCodeMalformed:
		return cli.WithExitCode(cli.ExitInvalid, err)
	}
	return err
}
