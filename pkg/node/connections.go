package node

import (
	"github.com/rs/zerolog"

	"github.com/gannetwell/gannetwell/pkg/connlimit"
)

// limitConnections makes the server keep at most n connections open.
func (a *httpActor) limitConnections(n int, log zerolog.Logger) {
	ln := connlimit.New(a.ln, n, log)
	ln.Attach(a.server)
	a.ln = ln
}
