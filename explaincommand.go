package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"cowslipflow/cowsliplog"
)

// explainCommand prints the log lines of several processes that explain one request.
type explainCommand struct {
	Args struct {
		ID    string   `positional-arg-name:"ID" description:"ID of the request, as its caller sent it"`
		Files []string `positional-arg-name:"FILE" required:"1" description:"logs of entry instances"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints two kinds of log lines in order of time: those about the request, and
// the events that the same instance logged in the five seconds before one of these.
func (c *explainCommand) Execute([]string) error {
	s := &cowsliplog.RequestLog{ID: c.Args.ID}
	for _, n := range c.Args.Files {
		f, err := os.Open(n)
		if err != nil {
			return exitErrorf(exitUsage, "%v", err)
		}
		err = s.Read(f)
		f.Close()
		if err != nil {
			return exitErrorf(exitFailed, "%s: %v", n, err)
		}
	}
	if !s.Found() {
		return exitErrorf(exitFailed, "no log line about request %s; the log's rate limit may have suppressed it (see leftOut in the log)", c.Args.ID)
	}
	lines := s.Lines()
	last := lines[len(lines)-1].At
	for _, l := range lines {
		b, err := json.Marshal(l.Fields)
		if err != nil {
			return exitErrorf(exitFailed, "%v", err)
		}
		fmt.Printf("%s  %8v before  %s %s %s\n", l.At.UTC().Format("15:04:05.000"), last.Sub(l.At).Round(time.Millisecond), l.Instance, l.Event, b)
	}
	return nil
}
