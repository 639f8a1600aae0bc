package cowslipconfig

import (
	"bytes"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"
)

// MaxEditBytes limits the size of a configuration that operators apply, so that it and its
// envelope fit in one value of the platform's key-value service.
const MaxEditBytes = 768 << 10

// ParseEdit is like Parse, for a configuration that is to be applied. It rejects one that is
// larger than MaxEditBytes.
func ParseEdit(source []byte) (*Config, error) {
	if len(source) > MaxEditBytes {
		return nil, Problems{{Field: "text", Message: "larger than 768 KiB", Hint: "distribute the services over several installations"}}
	}
	c, err := Parse(source)
	if err == nil && c.imported {
		return nil, Problems{{Field: "imported", Message: "the text is not written by an operator", Hint: "leave it out"}}
	}
	return c, err
}

// Parse decodes and validates a configuration of any size: one that was accepted must come
// into force. The error is a Problems that lists every problem found. After a syntax error,
// the rest of the source is not checked.
func Parse(source []byte) (*Config, error) {
	var r Spec
	d := toml.NewDecoder(bytes.NewReader(source))
	d.DisallowUnknownFields()
	if err := d.Decode(&r); err != nil {
		return nil, decodeProblems(err)
	}
	k := &checker{source: source}
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
			p = append(p, Problem{Line: l, Field: joinKey(e.Key()), Message: "unknown name", Hint: "see docs/CONFIG.md for the known names"})
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
		return Problems{{Line: l, Field: f, Message: e.Error(), Hint: "write a value of the type that docs/CONFIG.md states"}}
	}
	return Problems{{Field: "text", Message: err.Error(), Hint: "write valid TOML"}}
}
