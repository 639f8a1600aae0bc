package cowslipconfig

import (
	"bytes"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"
)

// MaxConfigBytes bounds a text, so that it fits one value of the platform's
// key-value service together with its envelope.
const MaxConfigBytes = 768 << 10

// Parse reads a text. The error is a Problems that lists every fault found;
// a syntax error hides the ones behind it.
func Parse(text []byte) (*Config, error) {
	if len(text) > MaxConfigBytes {
		return nil, Problems{{Field: "text", Message: "larger than 768 KiB", Hint: "split the services over several installations"}}
	}
	var r Spec
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&r); err != nil {
		return nil, decodeProblems(err)
	}
	k := &checker{source: text}
	c := k.buildConfig(r)
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
			p = append(p, Problem{Line: l, Field: joinKey(e.Key()), Message: "unknown name", Hint: "see docs/CONFIG.md for the names"})
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
		return Problems{{Line: l, Field: f, Message: e.Error(), Hint: "write a value of the kind that docs/CONFIG.md names"}}
	}
	return Problems{{Field: "text", Message: err.Error(), Hint: "write TOML"}}
}
