// Command cowslipflow is a query tier for search over many shards. It runs the entry
// instance between callers and targets, has commands for operators and callers, and
// runs stand-ins for the platform and for targets.
package main

import (
	"fmt"
	"log"
	"log/slog"
	"os"
	"runtime/debug"

	"cowslipflow/cowslipsignal"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"
)

// Exit codes of the program.
const (
	exitOK       = 0
	exitFailed   = 1 // no answer, or a system error
	exitUsage    = 2 // an invalid flag, setting or argument
	exitRejected = 3 // the configuration is invalid, the edit conflicts with another one, or the key belongs to another request
	exitNotRun   = 4 // the request was refused and did not run
	exitUnknown  = 5 // whether the request ran or the edit was applied is unknown
	exitPartial  = 6 // the answer covers only a part of the key space
)

// exitError is an error with the exit code that the program ends with.
type exitError struct {
	code int
	err  error
}

func (e exitError) Error() string { return e.err.Error() }

func exitErrorf(code int, format string, a ...any) error {
	return exitError{code: code, err: fmt.Errorf(format, a...)}
}

// globalOptions are given before the subcommand.
type globalOptions struct {
	Version   func()    `long:"version" description:"print the version and exit"`
	LogLevel  logLevel  `long:"log-level" env:"COWSLIPFLOW_LOG_LEVEL" description:"lowest level to log: debug, info, warn or error (default: info for entry, warn otherwise)"`
	LogFormat logFormat `long:"log-format" env:"COWSLIPFLOW_LOG_FORMAT" default:"text" choice:"text" choice:"json" description:"format of the log on standard error"`
}

type logFormat string

// logLevel is the lowest level to log, if it was given.
type logLevel struct {
	level slog.Level
	given bool
}

// orDefault returns the level, or the given one if none was given.
func (l logLevel) orDefault(d slog.Level) slog.Level {
	if l.given {
		return l.level
	}
	return d
}

// UnmarshalFlag parses the name of a log level.
func (l *logLevel) UnmarshalFlag(s string) error {
	if err := l.level.UnmarshalText([]byte(s)); err != nil {
		return errors.Errorf("%q is not a log level; use debug, info, warn or error", s)
	}
	l.given = true
	return nil
}

var globals globalOptions

// maxLibraryLineBytes is how much of a library's log line is kept. net/http logs an
// unsolicited response in full, and that response may contain a caller's data.
const maxLibraryLineBytes = 80

// libraryLog receives the lines of the standard logger, which libraries use, and logs
// the start of each one at debug level.
type libraryLog struct{ log *slog.Logger }

// Write logs the first maxLibraryLineBytes of a line.
func (l libraryLog) Write(b []byte) (int, error) {
	l.log.Debug("library", "line", string(b[:min(len(b), maxLibraryLineBytes)]))
	return len(b), nil
}

// newLogger returns a logger to standard error and sends the lines of the standard logger
// to it. It logs from the given level on unless the command line says otherwise.
func newLogger(level slog.Level) *slog.Logger {
	l := newStderrLogger(level)
	log.SetFlags(0)
	log.SetOutput(libraryLog{l})
	return l
}

func newStderrLogger(level slog.Level) *slog.Logger {
	o := &slog.HandlerOptions{Level: globals.LogLevel.orDefault(level)}
	if globals.LogFormat == "json" {
		return slog.New(slog.NewJSONHandler(os.Stderr, o))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, o))
}

func printVersion() {
	v := "devel"
	if i, ok := debug.ReadBuildInfo(); ok && i.Main.Version != "" {
		v = i.Main.Version
	}
	fmt.Println("cowslipflow", v)
	os.Exit(exitOK)
}

// subcommand describes a subcommand. data holds its options and arguments, and executes it.
type subcommand struct {
	name, short, example string
	data                 any
}

func newParser() (*flags.Parser, error) {
	globals.Version = printVersion
	p := flags.NewParser(&globals, flags.HelpFlag|flags.PassDoubleDash)
	p.Name = "cowslipflow"
	p.CommandHandler = execute
	for _, s := range subcommands() {
		if _, err := p.AddCommand(s.name, s.short, s.short+".\n\nExample:\n  cowslipflow "+s.example, s.data); err != nil {
			return nil, err
		}
	}
	g, err := p.AddCommand("standin", "run a stand-in for the platform or for targets", "Stand-ins replace the platform and the targets in trials and tests.", &struct{}{})
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

// execute runs the subcommand that was chosen. All but entry serve nobody, and end when their
// terminal is closed.
func execute(c flags.Commander, args []string) error {
	if c == nil {
		return nil
	}
	if _, ok := c.(*entryCommand); !ok {
		cowslipsignal.EndOnHangup()
	}
	return c.Execute(args)
}

func subcommands() []subcommand {
	return []subcommand{
		{"entry", "run an entry instance", "entry --id e1 --failure-domain cerro --platform http://127.0.0.1:7600", &entryCommand{}},
		{"check", "check a configuration file without applying it", "check services.toml", &checkCommand{}},
		{"apply", "apply an edited configuration file", "apply --by maria services.toml", &applyCommand{}},
		{"config", "print the configuration in force, with the revision that an edit starts from", "config > services.toml", &configCommand{}},
		{"status", "print where the configuration is in force, and the state of services", "status", &statusCommand{}},
		{"timeline", "print the events of all entry instances in causal order", "timeline --kind moveDone", &timelineCommand{}},
		{"moves", "print the moves between versions", "moves", &movesCommand{}},
		{"domains", "print the failure domains", "domains", &domainsCommand{}},
		{"query", "send a query as a caller", "query --service diaries 'household 4711'", &queryCommand{}},
		{"record", "send a non-idempotent request as a caller", "record --service households --key visit-17 'entry 1'", &recordCommand{}},
		{"explain", "print the log lines that explain one request", "explain 9c41d07be2a35f68 front-1.log front-2.log", &explainCommand{}},
		{"route", "print where a request would go now and why, without sending it", "route GET 'http://diaries.example/search?q=4711' --header 'Name: value'", &routeCommand{}},
		{"demo", "run a complete installation inside one process and send it a query and a record", "demo", &demoCommand{}},
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
