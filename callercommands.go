package main

import (
	"fmt"
	"time"

	"cowslipflow/cowslipentry"
)

// callerOptions are the options that the query and record subcommands have in common.
type callerOptions struct {
	Server   string        `long:"server" env:"COWSLIPFLOW_SERVER" default:"http://127.0.0.1:7610" description:"URL of an entry instance's address for callers, or of a load balancer"`
	CA       string        `long:"ca" env:"COWSLIPFLOW_CA" description:"PEM file of the CA that signed the server's certificate"`
	Service  string        `long:"service" required:"yes" description:"service that receives the request"`
	Route    string        `long:"route" description:"route, which names the kind of request; a move is judged separately for each route"`
	Class    string        `long:"class" env:"COWSLIPFLOW_CLASS" description:"class of the caller; it sets the default deadline and the priority"`
	Deadline time.Duration `long:"deadline" description:"time limit for the answer (default: that of the class or of the service)"`
	JSON     bool          `long:"json" description:"print the answer as JSON"`
}

// clientTimeoutMargin is added to the request's deadline to get the client's own
// timeout.
const clientTimeoutMargin = 10 * time.Second

func (o callerOptions) client() httpClient {
	return httpClient{url: o.Server, ca: o.CA, timeout: o.Deadline + clientTimeoutMargin}
}

type queryCommand struct {
	callerOptions
	Args struct {
		Query string `positional-arg-name:"QUERY"`
	} `positional-args:"yes"`
}

// Execute sends a query and prints the answer.
func (c *queryCommand) Execute([]string) error {
	var a cowslipentry.QueryAnswer
	q := cowslipentry.QueryRequest{Service: c.Service, Route: c.Route, Query: c.Args.Query, Class: c.Class, DeadlineMillis: c.Deadline.Milliseconds()}
	if err := c.client().call("POST", "/v1/query", q, &a); err != nil {
		return err
	}
	if c.JSON {
		if err := printJSON(a); err != nil {
			return err
		}
	} else {
		printAnswer(a)
	}
	if !a.Complete {
		return exitErrorf(exitPartial, "the answer covers only a part")
	}
	return nil
}

func printAnswer(a cowslipentry.QueryAnswer) {
	for _, s := range a.Answers {
		fmt.Printf("%s: %d items of index version %d, coverage %.2f%%\n", s.Service, len(s.Items), s.IndexVersion, 100*s.Coverage.Fraction)
		for _, m := range s.Coverage.Missing {
			fmt.Printf("  missing: keys %d to %d\n", m.Lo, m.Hi-1)
		}
		if s.OwnDomainOnly {
			fmt.Println("  asked only the entry instance's own failure domain, since it is cut off")
		}
		fmt.Printf("  sub-requests: %d needed, %d sent\n", s.Needed, s.Sent)
	}
}

type recordCommand struct {
	callerOptions
	Key  string `long:"key" description:"idempotency key; requests with the same key run at most once"`
	Args struct {
		Body string `positional-arg-name:"BODY"`
	} `positional-args:"yes"`
}

// Execute sends a non-idempotent request, called a record, and prints its result.
func (c *recordCommand) Execute([]string) error {
	var a cowslipentry.RecordAnswer
	q := cowslipentry.RecordRequest{Service: c.Service, Route: c.Route, Key: c.Key, Body: c.Args.Body, Class: c.Class, DeadlineMillis: c.Deadline.Milliseconds()}
	if err := c.client().call("POST", "/v1/record", q, &a); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(a)
	}
	fmt.Println("ran once:", a.Result)
	if a.Repeated {
		fmt.Println("  by an earlier call with this key")
	}
	return nil
}
