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

// maxLine bounds one line of a log, in bytes.
const maxLine = 1 << 20

// line is a log line as far as it is needed here.
type line struct {
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

// prefixed is a line that whoever gathered the log has put a time in seconds before.
var prefixed = regexp.MustCompile(`^\s*(-?\d+(?:\.\d+)?)(?: s)?\s+\S+?:?\s+(\{.*)$`)

// read returns the log lines in order; others are passed over. A time in seconds
// before a line goes before the line's own, which is by the clock of one entry.
func read(r io.Reader) (lines []line, err error) {
	defer func() { err = errors.Wrap(err, "read log") }()
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		if l, ok := parse(s.Text()); ok {
			lines = append(lines, l)
		}
	}
	return lines, s.Err()
}

func parse(text string) (l line, ok bool) {
	body, seconds := strings.TrimSpace(text), ""
	if m := prefixed.FindStringSubmatch(text); m != nil {
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
