package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"cowslipflow/cowslipadmission"
	"cowslipflow/cowslipconfig"
	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipentry"

	"github.com/juju/errors"
)

// operatorOptions are the options that the operators' subcommands have in common.
type operatorOptions struct {
	Server  string        `long:"server" env:"COWSLIPFLOW_OPERATOR_SERVER" default:"http://127.0.0.1:7620" description:"URL of any entry instance's address for operators"`
	Token   string        `long:"token" env:"COWSLIPFLOW_TOKEN" description:"bearer token for operators' requests"`
	CA      string        `long:"ca" env:"COWSLIPFLOW_CA" description:"PEM file of the CA that signed the server's certificate"`
	Timeout time.Duration `long:"timeout" env:"COWSLIPFLOW_TIMEOUT" default:"10s" description:"time limit for the answer"`
	JSON    bool          `long:"json" description:"print the answer as JSON"`
}

func (o operatorOptions) client() httpClient {
	return httpClient{url: o.Server, token: o.Token, ca: o.CA, timeout: o.Timeout}
}

// fetchAndPrint sends a GET request for a path and prints the answer, as JSON if o.JSON is
// set and with show otherwise.
func fetchAndPrint[T any](o operatorOptions, path string, show func(T)) error {
	var v T
	if err := o.client().call("GET", path, struct{}{}, &v); err != nil {
		return err
	}
	if o.JSON {
		return printJSON(v)
	}
	show(v)
	return nil
}

func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func printTable(header string, rows func(w *tabwriter.Writer)) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.ReplaceAll(header, " ", "\t"))
	rows(w)
	w.Flush()
}

// configFileArg is the argument that names a configuration file.
type configFileArg struct {
	File string `positional-arg-name:"FILE" required:"yes"`
}

func (a configFileArg) read() ([]byte, error) {
	b, err := os.ReadFile(a.File)
	if err != nil {
		return nil, exitErrorf(exitUsage, "%v", err)
	}
	return b, nil
}

type checkCommand struct {
	Args configFileArg `positional-args:"yes"`
}

// Execute checks a configuration file without calling an entry instance.
func (c *checkCommand) Execute([]string) error {
	b, err := c.Args.read()
	if err != nil {
		return err
	}
	n, err := cowslipconfig.ParseEdit(b)
	if err == nil {
		err = cowslipconfig.CheckEdit(nil, n, b, time.Now())
	}
	if err != nil {
		printProblems(c.Args.File, err)
		return exitErrorf(exitRejected, "%s has problems", c.Args.File)
	}
	fmt.Printf("%s: %d services, %d failure domains, %d moves, no problems\n", c.Args.File, len(n.Services()), len(n.FailureDomains()), len(n.Moves()))
	return nil
}

func printProblems(file string, err error) {
	var p cowslipconfig.Problems
	if !errors.As(err, &p) {
		return
	}
	for _, x := range p {
		fmt.Printf("%s:%d: %s: %s; %s\n", file, x.Line, x.Field, x.Message, x.Hint)
	}
}

type applyCommand struct {
	operatorOptions
	By     string        `long:"by" env:"USER" description:"name of the operator, shown in the timeline and in conflicts"`
	EditID string        `long:"edit" description:"ID of an earlier edit with an unknown outcome; repeats the edit without applying it twice"`
	Args   configFileArg `positional-args:"yes"`
}

// Execute applies a configuration file.
func (c *applyCommand) Execute([]string) error {
	b, err := c.Args.read()
	if err != nil {
		return err
	}
	var a cowslipentry.ApplyAnswer
	err = c.client().call("POST", "/v1/config", cowslipentry.ApplyRequest{Text: string(b), By: c.By, EditID: c.EditID}, &a)
	var r *cowslipentry.Refusal
	var x exitError
	if errors.As(err, &x) && errors.As(x.err, &r) {
		printDetails(c.Args.File, r)
	}
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(a)
	}
	fmt.Printf("accepted as revision %d\n", a.Revision)
	return nil
}

func printDetails(file string, r *cowslipentry.Refusal) {
	d, ok := r.Details.(json.RawMessage)
	if !ok {
		return
	}
	switch r.Code {
	case cowslipentry.CodeInvalidConfig:
		var p cowslipconfig.Problems
		if err := json.Unmarshal(d, &p); err == nil {
			printProblems(file, p)
		}
	case cowslipentry.CodeUnknown:
		var a cowslipentry.ApplyAnswer
		if err := json.Unmarshal(d, &a); err == nil {
			fmt.Printf("send it again with --edit %s\n", a.EditID)
		}
	}
}

type configCommand struct{ operatorOptions }

// Execute prints the configuration in force.
func (c *configCommand) Execute([]string) error {
	return fetchAndPrint(c.operatorOptions, "/v1/config", func(a cowslipcontrol.Accepted) {
		fmt.Print(replaceRevision(a))
	})
}

// replaceRevision returns the accepted text with a.Revision in its revision line, as the
// start of the next edit. The text itself names the revision that it was edited from.
func replaceRevision(a cowslipcontrol.Accepted) string {
	var l []string
	for _, s := range strings.SplitAfter(a.Text, "\n") {
		if f := strings.TrimSpace(s); strings.HasPrefix(f, "revision") && strings.HasPrefix(strings.TrimSpace(strings.TrimPrefix(f, "revision")), "=") {
			continue
		}
		l = append(l, s)
	}
	return fmt.Sprintf("revision = %d\n%s", a.Revision, strings.Join(l, ""))
}

type statusCommand struct{ operatorOptions }

// Execute prints the status of the configuration and of the services.
func (c *statusCommand) Execute([]string) error {
	return fetchAndPrint(c.operatorOptions, "/v1/status", func(s cowslipentry.InstanceStatus) {
		n := len(s.InForce) + len(s.NotConfirmed)
		fmt.Printf("revision %d in force on %d of %d entry instances\n", s.Revision, len(s.InForce), n)
		if len(s.NotConfirmed) > 0 {
			fmt.Println("not confirmed on:", strings.Join(s.NotConfirmed, ", "))
		}
		fmt.Printf("answered by %s in failure domain %s, which may send requests to targets of: %s\n", s.ID, s.FailureDomain, scopeDescription(s.Status))
		if s.PlatformDown {
			fmt.Println("the platform does not answer; no edit can be accepted until it does")
		}
		if u := s.Usage; u != nil {
			fmt.Println(usageDescription(*u))
		}
		if p := s.StoreProblems; p.Count > 0 {
			fmt.Printf("%d values of the store cannot be used as they are:\n  %s\n", p.Count, strings.Join(p.First, "\n  "))
		}
		printTable("SERVICE INDEX COVERAGE TARGETS COLD EJECTED LEAVING IMPAIRED", func(w *tabwriter.Writer) {
			for _, x := range s.Services {
				fmt.Fprintf(w, "%s\t%d\t%.2f%%\t%d\t%d\t%d\t%d\t%s\n", x.Name, x.IndexVersion, 100*x.Coverage, x.Targets, x.Cold, x.Ejected, x.Leaving, strings.Join(x.Impaired, ","))
			}
		})
		printAdmission(s.Admission)
	})
}

// printAdmission prints the admission pools of the instance that answered, if it has any.
func printAdmission(m map[string]cowslipadmission.Status) {
	if len(m) == 0 {
		return
	}
	fmt.Println()
	printTable("POOL LIMITED DEMAND RATE IN-TIME PRESSURE", func(w *tabwriter.Writer) {
		for _, n := range slices.Sorted(maps.Keys(m)) {
			x := m[n]
			fmt.Fprintf(w, "%s\t%t\t%.1f/s\t%.1f/s\t%.1f/s\t%.2f\n", n, x.Limited, x.Demand, x.Rate, x.InTime, x.Pressure)
		}
	})
}

func scopeDescription(s cowslipcontrol.Status) string {
	switch s.Scope {
	case "all":
		return "all failure domains"
	case "own":
		return "its own failure domain only, since it is cut off"
	}
	return "none, until it has confirmed the configuration"
}

func usageDescription(u cowslipentry.UsageStatus) string {
	holder, last := "no instance", "none known"
	if u.Holder != "" {
		holder = u.Holder
	}
	if u.LastWindow != 0 {
		last = fmt.Sprintf("%d, which ended at %s", u.LastWindow, u.LastEnded.UTC().Format(time.RFC3339))
	}
	return fmt.Sprintf("usage is reported by %s; last window reported: %s", holder, last)
}

type movesCommand struct{ operatorOptions }

// Execute prints the moves.
func (c *movesCommand) Execute([]string) error {
	return fetchAndPrint(c.operatorOptions, "/v1/moves", func(l []cowslipcontrol.MoveReport) {
		printTable("SERVICE FROM TO BY STATE SHARE REASON", func(w *tabwriter.Writer) {
			for _, m := range l {
				var s []string
				for r, x := range m.Share {
					s = append(s, fmt.Sprintf("%s:%.0f%%", r, 100*x))
				}
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", m.Service, m.From, m.To, m.By.UTC().Format(time.RFC3339), m.State, strings.Join(s, ","), m.Reason)
			}
		})
	})
}

type domainsCommand struct{ operatorOptions }

// Execute prints the failure domains.
func (c *domainsCommand) Execute([]string) error {
	return fetchAndPrint(c.operatorOptions, "/v1/failureDomains", func(l []cowslipcontrol.FailureDomainStatus) {
		printTable("FAILURE-DOMAIN STATE TARGETS COLD ENTRY-INSTANCES HEARD", func(w *tabwriter.Writer) {
			for _, d := range l {
				fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\n", d.Name, d.State, d.Targets, d.Cold, d.Instances, d.LiveInstances)
			}
		})
	})
}

type timelineCommand struct {
	operatorOptions
	Kind  string        `long:"kind" description:"print only events of this kind"`
	Since time.Duration `long:"since" description:"print only events that are at most this old"`
}

// Execute prints the timeline.
func (c *timelineCommand) Execute([]string) error {
	return fetchAndPrint(c.operatorOptions, "/v1/timeline", func(t cowslipentry.Timeline) {
		for _, e := range t.Events {
			at := time.Unix(0, e.Stamp.Wall).UTC()
			if c.Kind != "" && e.Kind != c.Kind || c.Since > 0 && time.Since(at) > c.Since {
				continue
			}
			fmt.Printf("%s  %-8s  %-22s  %s  %s\n", at.Format("15:04:05.000"), e.Instance, e.Kind, e.Subject, e.Detail)
		}
		if len(t.Missing) > 0 {
			fmt.Println("no answer from:", strings.Join(t.Missing, ", "))
		}
	})
}
