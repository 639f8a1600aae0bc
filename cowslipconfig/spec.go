package cowslipconfig

import (
	"time"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"
)

// Spec is the content of a configuration before validation. Programs that
// generate a configuration fill one and call TOML. Its keys are described in
// docs/CONFIG.md; a zero value stands for a key that is left out.
type Spec struct {
	Revision       uint64              `toml:"revision,omitempty"`
	Imported       bool                `toml:"imported,omitempty"` // set by Import
	FailureDomains []FailureDomainSpec `toml:"failureDomains,omitempty"`
	Classes        []ClassSpec         `toml:"classes,omitempty"`
	Services       []ServiceSpec       `toml:"services,omitempty"`
	Routes         []RouteSpec         `toml:"routes,omitempty"`
	RequireKey     bool                `toml:"requireKey,omitempty"`
	Workspaces     []WorkspaceSpec     `toml:"workspaces,omitempty"`
	Moves          []MoveSpec          `toml:"moves,omitempty"`
}

// FailureDomainSpec is an entry of [[failureDomains]].
type FailureDomainSpec struct {
	Name  string `toml:"name,omitempty"`
	State string `toml:"state,omitempty"`
}

// ClassSpec is an entry of [[classes]].
type ClassSpec struct {
	Name     string   `toml:"name,omitempty"`
	Deadline Duration `toml:"deadline,omitempty"`
	Priority int      `toml:"priority,omitempty"`
}

// ServiceSpec is an entry of [[services]].
type ServiceSpec struct {
	Name        string   `toml:"name,omitempty"`
	Kind        string   `toml:"kind,omitempty"`
	Version     string   `toml:"version,omitempty"`
	Shards      int      `toml:"shards,omitempty"`
	Replicas    int      `toml:"replicas,omitempty"`
	Slots       int      `toml:"slots,omitempty"`
	Connections int      `toml:"connections,omitempty"`
	ConnectTime Duration `toml:"connectTime,omitempty"`
	WarmTime    Duration `toml:"warmTime,omitempty"`
	ColdSlots   int      `toml:"coldSlots,omitempty"`
	ColdRate    float64  `toml:"coldRate,omitempty"`
	Deadline    Duration `toml:"deadline,omitempty"`
	ExtraLoad   *float64 `toml:"extraLoad,omitempty"`
	DependsOn   []string `toml:"dependsOn,omitempty"`
}

// RouteSpec is an entry of [[routes]].
type RouteSpec struct {
	Name          string      `toml:"name,omitempty"`
	Host          string      `toml:"host,omitempty"`
	Prefix        string      `toml:"prefix,omitempty"`
	Once          bool        `toml:"once,omitempty"`
	Service       string      `toml:"service,omitempty"`
	Split         []ShareSpec `toml:"split,omitempty"`
	Gather        []string    `toml:"gather,omitempty"`
	Top           int         `toml:"top,omitempty"`
	MinCoverage   float64     `toml:"minCoverage,omitempty"`
	Attempts      int         `toml:"attempts,omitempty"`
	Timeout       Duration    `toml:"timeout,omitempty"`
	LatencyTarget Duration    `toml:"latencyTarget,omitempty"`
	Priority      int         `toml:"priority,omitempty"`
	Public        bool        `toml:"public,omitempty"`
}

// WorkspaceSpec is an entry of [[workspaces]].
type WorkspaceSpec struct {
	Name       string   `toml:"name,omitempty"`
	Keys       []string `toml:"keys,omitempty"`
	KeyDigests []string `toml:"keyDigests,omitempty"`
	Priority   *int     `toml:"priority,omitempty"`
	Weight     *float64 `toml:"weight,omitempty"`
}

// ShareSpec is an entry of a route's split.
type ShareSpec struct {
	Service string  `toml:"service,omitempty"`
	Weight  float64 `toml:"weight"`
}

// MoveSpec is an entry of [[moves]].
type MoveSpec struct {
	Service string    `toml:"service,omitempty"`
	To      string    `toml:"to,omitempty"`
	By      time.Time `toml:"by,omitempty"`
	Within  Duration  `toml:"within,omitempty"`
	Order   uint64    `toml:"order,omitempty"`
}

// Duration is a time.Duration that is encoded as a string such as "400ms".
type Duration time.Duration

// UnmarshalText decodes a duration such as "400ms".
func (d *Duration) UnmarshalText(b []byte) error {
	x, err := time.ParseDuration(string(b))
	if err != nil {
		return errors.Errorf("invalid duration %q; write one such as \"400ms\"", b)
	}
	*d = Duration(x)
	return nil
}

// MarshalText encodes a duration as a string such as "400ms".
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// TOML encodes the spec in the form that Parse reads.
func (d Spec) TOML() ([]byte, error) {
	b, err := toml.Marshal(d)
	return b, errors.Annotate(err, "cowslipconfig: encode configuration")
}
