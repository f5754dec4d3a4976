package lateness

import (
	"bufio"
	"encoding/json"
	"io"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// logLine holds the fields of a log line that the package uses.
type logLine struct {
	Event   string `json:"event"`
	TimeMs  int64  `json:"time"`
	Request string `json:"request"`
	Pool    string `json:"pool"`
	Outcome string `json:"outcome"`
	Task    string `json:"task"`
	Attempt int64  `json:"attempt"`
	Reason  string `json:"reason"`
	Job     string `json:"job"`
	State   string `json:"state"`

	at time.Duration
}

// timePrefix matches a line that a log collector has prefixed with a time in seconds and a name.
var timePrefix = regexp.MustCompile(`^\s*(-?\d+(?:\.\d+)?)(?: s)?\s+\S+?:?\s+(\{.*)$`)

// readLines returns the log lines in order and skips all other text. A time prefix
// overrides the line's own time, which depends on the clock of one entry.
func readLines(r io.Reader) (lines []logLine, err error) {
	defer func() { err = errors.Wrap(err, "read log") }()
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		if l, ok := parseLine(s.Text()); ok {
			lines = append(lines, l)
		}
	}
	return lines, s.Err()
}

func parseLine(text string) (l logLine, ok bool) {
	body, seconds := strings.TrimSpace(text), ""
	if m := timePrefix.FindStringSubmatch(text); m != nil {
		seconds, body = m[1], m[2]
	}
	if err := json.Unmarshal([]byte(body), &l); err != nil || l.Event == "" {
		return l, false
	}
	l.at = time.Duration(l.TimeMs) * time.Millisecond
	if s, err := strconv.ParseFloat(seconds, 64); err == nil {
		l.at = time.Duration(s * float64(time.Second))
	}
	return l, true
}
