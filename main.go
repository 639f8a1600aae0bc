// Command cowslipflow is a query tier for search over many shards: the entry
// instance between callers and targets, the operators' and callers' command
// line, and stand-ins of what surrounds it.
package main

import (
	"context"
	"fmt"
	"log"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1 // no answer, or an error of the machine
	exitUsage    = 2 // a wrong flag, setting or argument
	exitRejected = 3 // the text has problems, or the edit conflicts with another
	exitNotRun   = 4 // the request was refused and did not run
	exitUnknown  = 5 // the end of the request or edit is not known
	exitPartial  = 6 // the answer covers only a part
)

// exitError is an error with the exit code that it ends the program with.
type exitError struct {
	code int
	err  error
}

func (e exitError) Error() string { return e.err.Error() }

func exitErrorf(code int, format string, a ...any) error {
	return exitError{code: code, err: fmt.Errorf(format, a...)}
}

// globalOptions stand before the subcommand.
type globalOptions struct {
	Version   func()    `long:"version" description:"print the version and exit"`
	LogLevel  logLevel  `long:"log-level" env:"COWSLIPFLOW_LOG_LEVEL" default:"warn" description:"debug, info, warn or error"`
	LogFormat logFormat `long:"log-format" env:"COWSLIPFLOW_LOG_FORMAT" default:"text" choice:"text" choice:"json" description:"of the log on standard error"`
}

type logFormat string

type logLevel struct{ slog.Level }

// UnmarshalFlag reads a level's name.
func (l *logLevel) UnmarshalFlag(s string) error {
	if err := l.UnmarshalText([]byte(s)); err != nil {
		return errors.Errorf("%q is no log level; write debug, info, warn or error", s)
	}
	return nil
}

var globals globalOptions

// maxLibraryLineBytes bounds a line of a library's own log: net/http prints the
// whole of an answer that nobody asked for, which may be a caller's data.
const maxLibraryLineBytes = 80

// libraryLog passes the start of each line of the libraries' logs on.
type libraryLog struct{ log *slog.Logger }

// Write logs the start of a line.
func (l libraryLog) Write(b []byte) (int, error) {
	l.log.Debug("library", "line", string(b[:min(len(b), maxLibraryLineBytes)]))
	return len(b), nil
}

func newLogger() *slog.Logger {
	l := newStderrLogger()
	log.SetFlags(0)
	log.SetOutput(libraryLog{l})
	return l
}

func newStderrLogger() *slog.Logger {
	o := &slog.HandlerOptions{Level: globals.LogLevel.Level}
	if globals.LogFormat == "json" {
		return slog.New(slog.NewJSONHandler(os.Stderr, o))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, o))
}

// signalContext returns a context that ends on SIGTERM or SIGINT.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

func printVersion() {
	v := "devel"
	if i, ok := debug.ReadBuildInfo(); ok && i.Main.Version != "" {
		v = i.Main.Version
	}
	fmt.Println("cowslipflow", v)
	os.Exit(exitOK)
}

// subcommand is one entry of the command line.
type subcommand struct {
	name, short, example string
	data                 any
}

func newParser() (*flags.Parser, error) {
	globals.Version = printVersion
	p := flags.NewParser(&globals, flags.HelpFlag|flags.PassDoubleDash)
	p.Name = "cowslipflow"
	for _, s := range subcommands() {
		if _, err := p.AddCommand(s.name, s.short, s.short+".\n\nExample:\n  cowslipflow "+s.example, s.data); err != nil {
			return nil, err
		}
	}
	g, err := p.AddCommand("standin", "run a stand-in of the platform or of targets", "Stand-ins are for trying things and for tests.", &struct{}{})
	if err != nil {
		return nil, err
	}
	for _, s := range standinCommands() {
		if _, err := g.AddCommand(s.name, s.short, s.short+".\n\nExample:\n  cowslipflow "+s.example, s.data); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func subcommands() []subcommand {
	return []subcommand{
		{"entry", "run an entry instance", "entry --id e1 --failure-domain cerro --platform http://127.0.0.1:7600", &entryCommand{}},
		{"check", "check a text of services without applying it", "check services.toml", &checkCommand{}},
		{"apply", "apply an edited text", "apply --by maria services.toml", &applyCommand{}},
		{"config", "print the text in force, with the revision to edit from", "config > services.toml", &configCommand{}},
		{"status", "print what is in force where, and the state of services", "status", &statusCommand{}},
		{"timeline", "print the events of all entry instances in causal order", "timeline --kind moveDone", &timelineCommand{}},
		{"moves", "print the moves between versions", "moves", &movesCommand{}},
		{"domains", "print the failure domains", "domains", &domainsCommand{}},
		{"query", "send a query as a caller", "query --service diaries 'household 4711'", &queryCommand{}},
		{"record", "send a non-idempotent request as a caller", "record --service households --key visit-17 'entry 1'", &recordCommand{}},
		{"explain", "print what logs tell of one request", "explain 9c41d07be2a35f68 front-1.log front-2.log", &explainCommand{}},
		{"demo", "run everything inside one process and send one query", "demo", &demoCommand{}},
	}
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	p, err := newParser()
	if err != nil {
		fmt.Fprintln(os.Stderr, "cowslipflow:", err)
		return exitFailed
	}
	_, err = p.ParseArgs(args)
	if err == nil {
		return exitOK
	}
	var f *flags.Error
	if errors.As(err, &f) {
		if f.Type == flags.ErrHelp {
			fmt.Println(f.Message)
			return exitOK
		}
		fmt.Fprintln(os.Stderr, "cowslipflow:", f.Message)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "cowslipflow:", err)
	var x exitError
	if errors.As(err, &x) {
		return x.code
	}
	return exitFailed
}
