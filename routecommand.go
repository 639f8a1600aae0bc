package main

import (
	"fmt"
	"net/textproto"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"cowslipflow/cowslipentry"
	"cowslipflow/cowsliproute"
)

type routeCommand struct {
	operatorOptions
	Headers []string `long:"header" description:"header of the request, as 'Name: value'; may be given several times"`
	Body    string   `long:"body" description:"body of the request"`
	Caller  string   `long:"caller" description:"address of the caller, by which requests are recognized that crash targets"`
	Service string   `long:"service" description:"service whose targets are listed; a wide request goes to many, and none of them are listed without this"`
	Args    struct {
		Method string `positional-arg-name:"METHOD" required:"yes"`
		URL    string `positional-arg-name:"URL" required:"yes"`
	} `positional-args:"yes"`
}

// Execute asks an instance where a request would go now and prints the answer.
func (c *routeCommand) Execute([]string) error {
	q := cowslipentry.RouteQuestion{Method: c.Args.Method, URL: c.Args.URL, Headers: map[string][]string{}, Body: c.Body, Caller: c.Caller, Service: c.Service}
	for _, h := range c.Headers {
		n, v, ok := strings.Cut(h, ":")
		if !ok || n == "" {
			// The header may be a key, so it is not repeated.
			return exitErrorf(exitUsage, "--header: not of the form 'Name: value'")
		}
		n = textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(n))
		q.Headers[n] = append(q.Headers[n], strings.TrimSpace(v))
	}
	var x cowslipentry.RouteExplanation
	if err := c.client().call("POST", "/v1/route", q, &x); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(x)
	}
	printRoute(x)
	return nil
}

func printRoute(x cowslipentry.RouteExplanation) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	row := func(name, format string, args ...any) { fmt.Fprintf(w, "%s\t%s\n", name, fmt.Sprintf(format, args...)) }
	row("request", "%s %s%s", x.Method, x.Host, x.Path)
	row("decision", "%s", describeDecision(x))
	row("instance", "%s in failure domain %s; ready: %t; revision: %d; targets that may be asked: %s", x.Instance, x.FailureDomain, x.Ready, x.Revision, x.Scope)
	if x.Route != nil {
		printRouteRows(x, row)
	}
	for _, r := range x.Relays {
		row("relay", "%s in failure domain %s; in flight: %d; %s", r.ID, r.FailureDomain, r.InFlight, orElse(r.RuledOut, "may be asked"))
	}
	w.Flush()
	printRouteServices(x)
}

func describeDecision(x cowslipentry.RouteExplanation) string {
	switch x.Decision {
	case cowslipentry.RouteRelay:
		var l []string
		for _, r := range x.Relays {
			if r.Candidate {
				l = append(l, r.ID)
			}
		}
		return "relay to one of " + strings.Join(l, ", ") + "; if none accepts it, " + orElse(refusal(x.IfNotRelayed), "send it to targets")
	case cowslipentry.RouteRefuse:
		s := refusal(x.Reason)
		if x.RetryAfterMillis > 0 {
			s += fmt.Sprintf("; it may come again after %d ms", x.RetryAfterMillis)
		}
		return s
	case cowslipentry.RouteWait:
		return "wait for targets: " + x.Reason
	}
	return "send to targets"
}

func refusal(reason string) string {
	if reason == "" {
		return ""
	}
	return "refuse: " + reason
}

func orElse(s, otherwise string) string {
	if s == "" {
		return otherwise
	}
	return s
}

func printRouteRows(x cowslipentry.RouteExplanation, row func(name, format string, args ...any)) {
	r := x.Route
	row("route", "%s for host %s and prefix %s; priority: %d; latency target: %d ms; timeout: %d ms; hedge after: %.1f ms; attempts: %d", r.Name, r.Host, r.Prefix, r.Priority, r.LatencyTargetMillis, r.TimeoutMillis, r.HedgeAfterMillis, r.Attempts)
	if r.Wide {
		row("parts", "%d services, of which %d must answer", len(x.Services), r.MinParts)
	}
	s := map[string]string{"none": "no key was given", "unknown": "the key is unknown", "ignored": "the route is public, and the key is not read"}[x.Workspace.Key]
	if x.Workspace.Required && x.Workspace.Name == "" {
		s += "; a key is required"
	}
	row("workspace", "%s", orElse(x.Workspace.Name, s))
	row("crashes", "%s", describeSuspicion(*x.Suspicion))
	if g := x.Guard; g != nil {
		s := "calm; all services are asked at once"
		switch {
		case len(g.Probes) > 0:
			s = "one service is asked first: " + strings.Join(g.Probes, ", else ")
		case g.Alert:
			s = "alert; the request has been answered since, and all services are asked at once"
		}
		row("guard", "%s", s)
	}
	if x.Admission != "" {
		row("admission", "%s", x.Admission)
	}
}

func describeSuspicion(s cowslipentry.SuspicionExplanation) string {
	if s.Verdict == cowsliproute.Harmless.String() {
		return "none known under the request"
	}
	t := "the request is " + s.Verdict
	if s.HeldUntil != nil {
		t += " until " + s.HeldUntil.UTC().Format("15:04:05.000")
	}
	if s.Trial {
		t += "; it was held, and is tried again if the store permits it"
	}
	if s.Whole {
		t += "; no target has answered it"
	}
	if len(s.Services) > 0 {
		t += "; targets crashed of " + strings.Join(s.Services, ", ")
	}
	return t
}

func printRouteServices(x cowslipentry.RouteExplanation) {
	if len(x.Services) == 0 {
		return
	}
	fmt.Println()
	printTable("SERVICE SHARE VERSIONS TARGETS CAN-BE-ASKED RULED-OUT", func(w *tabwriter.Writer) {
		for _, s := range x.Services {
			fmt.Fprintf(w, "%s\t%.0f%%\t%s\t%d\t%d\t%s\n", s.Name, 100*s.Share, s.Versions, s.Targets, s.Eligible, describeObstacles(s))
		}
	})
	for _, s := range x.Services {
		if len(s.Candidates) == 0 {
			continue
		}
		fmt.Printf("\ntargets of %s:\n", s.Name)
		printTable("TARGET FAILURE-DOMAIN VERSION IN-FLIGHT LIMIT LOAD SLOTS LATENCY SPEED LEARNED-LIMIT WAIT-MS NOTES", func(w *tabwriter.Writer) {
			for _, t := range s.Candidates {
				fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%d\t%s\n", t.ID, t.FailureDomain, t.Version, t.InFlight, t.Limit, t.Load, t.Slots,
					known(t.Latency, "%.2f"), known(t.Speed, "%.2f"), known(float64(t.LearnedLimit), "%.0f"), t.WaitMillis, describeTarget(t))
			}
		})
	}
}

// known formats a figure, or a dash if it is 0, which means that it is unknown.
func known(v float64, format string) string {
	if v == 0 {
		return "-"
	}
	return fmt.Sprintf(format, v)
}

func describeObstacles(s cowslipentry.ServiceExplanation) string {
	var l []string
	for b, n := range s.RuledOut {
		l = append(l, fmt.Sprintf("%s: %d", b, n))
	}
	slices.Sort(l)
	if s.Refused != "" {
		l = append(l, refusal(s.Refused))
	}
	return strings.Join(l, "; ")
}

func describeTarget(t cowslipentry.TargetExplanation) string {
	var l []string
	if t.RuledOut != "" {
		l = append(l, "ruled out: "+string(t.RuledOut))
	}
	if t.Stalled {
		l = append(l, "stalled")
	}
	if t.NewConnection {
		l = append(l, "needs a new connection")
	}
	return strings.Join(l, ", ")
}
