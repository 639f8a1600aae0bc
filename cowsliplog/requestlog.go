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

// Constants of a Story.
const (
	// contextWindow is how long before a request's end what its instance came to
	// believe may have decided it.
	contextWindow = 5 * time.Second
	// maxLineBytes bounds a line of a log that is read.
	maxLineBytes = 1 << 20
)

// Line is one line of a log that a Story holds.
type Line struct {
	At       time.Time
	Instance string
	Event    string
	Fields   map[string]any // all others
}

// RequestLog collects, from the logs of several processes, what tells how one request
// ended. The zero value holds nothing.
type RequestLog struct {
	ID            string
	requestLines  []Line
	instanceLines []Line // events that are about no request
}

// Read takes in a log. Each line may have words before its JSON object, such as
// the name of a file or machine; lines without one are left out.
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
	return errors.Annotate(b.Err(), "cowsliplog: read")
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

// Lines are those of the request, and before them what its instances came to
// believe shortly before, in order of time.
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

// Found tells whether any log held a line of the request.
func (s *RequestLog) Found() bool { return len(s.requestLines) > 0 }
