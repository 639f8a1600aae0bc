package cowsliplog

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/juju/errors"
)

// Constants of a RequestLog.
const (
	// contextWindow is the time before each line of the request in which the events of
	// the same instance are included, as they may have influenced the outcome.
	contextWindow = 5 * time.Second
	// maxLineBytes limits the length of a line that Read accepts.
	maxLineBytes = 1 << 20
)

// Line is one line of a log.
type Line struct {
	At       time.Time
	Instance string
	Event    string
	Fields   map[string]any // all fields but the time, level, instance, message and request ID
}

// RequestLog collects the lines about one request from the logs of several
// processes, together with the events that may explain its outcome. Set ID before
// the first Read. The zero value is empty.
type RequestLog struct {
	ID            string
	requestLines  []Line
	instanceLines []Line // events without a request ID
}

// Read adds the lines of a log. A line may have a prefix before its JSON object,
// such as the name of a file or host. Lines without a JSON object are ignored.
func (s *RequestLog) Read(r io.Reader) error {
	b := bufio.NewScanner(r)
	b.Buffer(nil, maxLineBytes)
	for b.Scan() {
		i := bytes.IndexByte(b.Bytes(), '{')
		if i < 0 {
			continue
		}
		l, id, ok := parseLine(b.Bytes()[i:])
		switch {
		case !ok:
		case id == s.ID:
			s.requestLines = append(s.requestLines, l)
		case id == "":
			s.instanceLines = append(s.instanceLines, l)
		}
	}
	return errors.Annotate(b.Err(), "cowsliplog: read log")
}

func parseLine(b []byte) (l Line, id string, ok bool) {
	var f map[string]any
	if err := json.Unmarshal(b, &f); err != nil {
		return Line{}, "", false
	}
	t, _ := f["time"].(string)
	l.At, _ = time.Parse(time.RFC3339Nano, t)
	l.Instance, _ = f["instance"].(string)
	l.Event, _ = f["msg"].(string)
	id, _ = f["id"].(string)
	for _, k := range []string{"time", "level", "instance", "msg", "id"} {
		delete(f, k)
	}
	l.Fields = f
	return l, id, l.Event != "" && !l.At.IsZero()
}

// Lines returns the lines about the request and, for each of them, the events that the
// same instance recorded in the five seconds before it, in order of time.
func (s *RequestLog) Lines() []Line {
	l := slices.Clone(s.requestLines)
	for _, o := range s.instanceLines {
		if slices.ContainsFunc(s.requestLines, func(r Line) bool {
			d := r.At.Sub(o.At)
			return o.Instance == r.Instance && d >= 0 && d <= contextWindow
		}) {
			l = append(l, o)
		}
	}
	slices.SortStableFunc(l, func(a, b Line) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	return l
}

// Found reports whether any log contained a line about the request.
func (s *RequestLog) Found() bool { return len(s.requestLines) > 0 }
