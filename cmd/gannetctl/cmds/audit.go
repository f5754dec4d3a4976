package cmds

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/gannetwell/gannetwell/pkg/schema"
	"github.com/gannetwell/gannetwell/pkg/table"
	"github.com/gannetwell/gannetwell/service/client"
	"github.com/gannetwell/gannetwell/service/server"
)

type auditQuery = client.AuditQuery

type auditCommand struct {
	*console `no-flag:"true"`
	Kind     string        `long:"kind" value-name:"KIND" description:"Only changes of rows of a kind"`
	Name     string        `long:"name" value-name:"NAME" description:"Only changes of rows of a name"`
	Actor    string        `long:"actor" value-name:"ACTOR" description:"Only changes by an operator or a part of the system"`
	Since    time.Duration `long:"since" value-name:"DURATION" description:"Only changes of the last time, such as 24h"`
	Until    time.Duration `long:"until" value-name:"DURATION" description:"Only changes from before, such as 1h"`
	Limit    int           `long:"limit" default:"50" description:"At most so many entries"`
}

// Execute implements flags.Commander.
func (c *auditCommand) Execute([]string) error {
	q := auditQuery{Kind: c.Kind, Name: c.Name, Actor: c.Actor, Limit: c.Limit}
	if c.Since > 0 {
		q.FromMs = int(time.Now().Add(-c.Since).UnixMilli())
	}
	if c.Until > 0 {
		q.ToMs = int(time.Now().Add(-c.Until).UnixMilli())
	}
	return c.printAudit(q)
}

// printAudit prints the matching audit entries with the columns that each changed.
func (c *console) printAudit(q auditQuery) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	audit, err := cl.Audit(context.Background(), q)
	if err != nil {
		return withExitCode(err)
	}
	for _, e := range audit.Entries {
		c.printf("revision %d  %s  %s: %s\n", e.Revision, time.UnixMilli(int64(e.AtMs)).UTC().Format(time.RFC3339), e.Actor, e.Reason)
		if e.Evidence != "" {
			c.printf("  evidence: %s\n", e.Evidence)
		}
		for _, ch := range e.Changes {
			if (q.Kind == "" || q.Kind == ch.Kind) && (q.Name == "" || q.Name == ch.Name) {
				c.printf("  ")
				c.printColumns(table.Key{Kind: schema.Kind(ch.Kind), Name: ch.Name}, ch.Before, ch.After)
			}
		}
	}
	if !audit.Complete {
		c.printf("the search stopped before the start of the audit trail; narrow it with --limit, or with --kind and --name\n")
	}
	return nil
}

func sortedKeys(m map[string]json.RawMessage) []string { return slices.Sorted(maps.Keys(m)) }

type explainCommand struct {
	*console `no-flag:"true"`
	rowArgs
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	e, err := cl.Explain(context.Background(), c.Args.Kind, c.Args.Name)
	if err != nil {
		return withExitCode(err)
	}
	for _, s := range e.Sentences {
		c.printf("%s\n", s)
	}
	return nil
}

type tokenCommand struct {
	*console `no-flag:"true"`
}

// Execute implements flags.Commander.
func (c *tokenCommand) Execute([]string) error {
	token := newID()
	c.printf("token:        %s\ntoken_sha256: %s\n", token, server.HashToken(token))
	return nil
}
