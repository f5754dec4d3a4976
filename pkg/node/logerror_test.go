package node

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// TestLoggedErrors guards against a log line as long as what another program has written.
func TestLoggedErrors(t *testing.T) {
	var log bytes.Buffer
	l := zerolog.New(&log)
	l.Error().Err(errors.New(strings.Repeat("ä", 50_000))).Send()
	qt.Check(t, log.Len() < 2*maxLoggedErrorBytes, qt.IsTrue, qt.Commentf("%d bytes", log.Len()))
	qt.Check(t, json.Valid(log.Bytes()), qt.IsTrue)
	log.Reset()
	l.Error().Err(errors.New("short")).Send()
	qt.Check(t, log.String(), qt.Equals, `{"level":"error","error":"short"}`+"\n")
	log.Reset()
	l.Error().Err(nil).Send()
	qt.Check(t, log.String(), qt.Equals, `{"level":"error"}`+"\n")
}
