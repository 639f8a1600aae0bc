package cowslipconfig

import (
	"bytes"
	"time"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"
)

// MaxTextBytes bounds a text, so that it fits one value of the platform's
// key-value service together with its envelope.
const MaxTextBytes = 768 << 10

type rawConfig struct {
	Revision       uint64       `toml:"revision"`
	FailureDomains []rawDomain  `toml:"failureDomains"`
	Classes        []rawClass   `toml:"classes"`
	Services       []rawService `toml:"services"`
	Moves          []rawMove    `toml:"moves"`
}

type rawDomain struct {
	Name  string `toml:"name"`
	State string `toml:"state"`
}

type rawClass struct {
	Name     string   `toml:"name"`
	Deadline duration `toml:"deadline"`
	Priority int      `toml:"priority"`
}

type rawService struct {
	Name        string   `toml:"name"`
	Kind        string   `toml:"kind"`
	Version     string   `toml:"version"`
	Shards      int      `toml:"shards"`
	Replicas    int      `toml:"replicas"`
	Slots       int      `toml:"slots"`
	Connections int      `toml:"connections"`
	ConnectTime duration `toml:"connectTime"`
	WarmTime    duration `toml:"warmTime"`
	ColdSlots   int      `toml:"coldSlots"`
	Deadline    duration `toml:"deadline"`
	ExtraLoad   *float64 `toml:"extraLoad"`
	DependsOn   []string `toml:"dependsOn"`
}

type rawMove struct {
	Service string    `toml:"service"`
	To      string    `toml:"to"`
	By      time.Time `toml:"by"`
}

type duration time.Duration

// UnmarshalText reads a duration such as "400ms".
func (d *duration) UnmarshalText(b []byte) error {
	x, err := time.ParseDuration(string(b))
	if err != nil {
		return errors.Errorf("%q is no duration such as \"400ms\"", b)
	}
	*d = duration(x)
	return nil
}

// Parse reads a text. The error is a Problems that lists every fault found;
// a syntax error hides the ones behind it.
func Parse(text []byte) (*Config, error) {
	if len(text) > MaxTextBytes {
		return nil, Problems{{Field: "text", Wrong: "larger than 768 KiB", Right: "split the services over several installations"}}
	}
	var r rawConfig
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&r); err != nil {
		return nil, decodeProblems(err)
	}
	k := &checker{lines: indexLines(text)}
	c := k.config(r)
	if len(k.problems) > 0 {
		return nil, k.sorted()
	}
	return c, nil
}

func decodeProblems(err error) error {
	var m *toml.StrictMissingError
	if errors.As(err, &m) {
		var p Problems
		for _, e := range m.Errors {
			l, _ := e.Position()
			p = append(p, Problem{Line: l, Field: joinKey(e.Key()), Wrong: "unknown name", Right: "see docs/CONFIG.md for the names"})
		}
		return p
	}
	var e *toml.DecodeError
	if errors.As(err, &e) {
		l, _ := e.Position()
		f := joinKey(e.Key())
		if f == "" {
			f = "text"
		}
		return Problems{{Line: l, Field: f, Wrong: e.Error(), Right: "write a value of the kind that docs/CONFIG.md names"}}
	}
	return Problems{{Field: "text", Wrong: err.Error(), Right: "write TOML"}}
}
