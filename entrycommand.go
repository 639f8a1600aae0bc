package main

import (
	"crypto/tls"
	"log"
	"log/slog"
	"net"
	"os"
	"runtime/debug"
	"time"

	"cowslipflow/cowslipentry"
	"cowslipflow/cowsliplog"
	"cowslipflow/cowslipplatform"
	"cowslipflow/cowslipsignal"
	"cowslipflow/platform"
)

// entryCommand holds the settings of an entry instance.
type entryCommand struct {
	NodeFile      string        `long:"node-file" env:"COWSLIPFLOW_NODE_FILE" description:"settings file that the platform provides; it replaces all settings below"`
	ID            string        `long:"id" env:"COWSLIPFLOW_ID" description:"ID of the instance, unique among all entry instances"`
	FailureDomain string        `long:"failure-domain" env:"COWSLIPFLOW_FAILURE_DOMAIN" description:"failure domain that the instance runs in"`
	Platform      string        `long:"platform" env:"COWSLIPFLOW_PLATFORM" description:"URL of the platform's key-value service"`
	Callers       string        `long:"callers" env:"COWSLIPFLOW_CALLERS" default:"127.0.0.1:7610" description:"address to listen on for callers"`
	Operators     string        `long:"operators" env:"COWSLIPFLOW_OPERATORS" default:"127.0.0.1:7620" description:"address to listen on for operators"`
	Peers         string        `long:"peers" env:"COWSLIPFLOW_PEERS" default:"127.0.0.1:7630" description:"address to listen on for other entry instances"`
	Advertise     string        `long:"advertise" env:"COWSLIPFLOW_ADVERTISE" description:"address that other entry instances use to reach this one (default: that of --peers)"`
	Seeds         []string      `long:"seed" env:"COWSLIPFLOW_SEEDS" env-delim:"," description:"address of a peer to try until the platform lists the instances; may be repeated"`
	DrainWait     time.Duration `long:"drain-wait" env:"COWSLIPFLOW_DRAIN_WAIT" default:"2s" description:"time that the load balancer needs to notice a shutdown"`
	ClaimRate     float64       `long:"claim-rate" env:"COWSLIPFLOW_CLAIM_RATE" default:"40" description:"limit of keyed requests per second; each costs the platform two writes"`
	Token         string        `long:"token" env:"COWSLIPFLOW_TOKEN" description:"bearer token that operators' requests must carry"`
	CallersCert   string        `long:"callers-cert" env:"COWSLIPFLOW_CALLERS_CERT" description:"file of the TLS certificate for callers"`
	CallersKey    string        `long:"callers-key" env:"COWSLIPFLOW_CALLERS_KEY" description:"file of the private key of --callers-cert"`
	OperatorsCert string        `long:"operators-cert" env:"COWSLIPFLOW_OPERATORS_CERT" description:"file of the TLS certificate for operators"`
	NoHedge       bool          `long:"baseline-no-hedge" description:"for measurements: send no hedged requests"`
	RoundRobin    bool          `long:"baseline-round-robin" description:"for measurements: choose replicas regardless of load"`
	NoRamp        bool          `long:"baseline-no-ramp" description:"for measurements: treat cold targets as warm"`
	NoPool        bool          `long:"baseline-no-pool" description:"for measurements: ignore evidence from peers"`
	NoAdmission   bool          `long:"baseline-no-admission" description:"for measurements: disable load shedding of queries"`
	OperatorsKey  string        `long:"operators-key" env:"COWSLIPFLOW_OPERATORS_KEY" description:"file of the private key of --operators-cert"`

	logWriter *cowsliplog.Writer // writes the log, if NodeFile is set
	settings  platform.Settings  // as read from NodeFile at the start
}

const (
	// logRateLimit is how many lines with the same message are logged per second if
	// NodeFile is set. A line has about 200 bytes.
	logRateLimit = 100
	// memoryLimitDivisor leaves 1/4 of the memory for what the garbage collector does not
	// count, and at least uncountedMemory: the program itself takes about 15 MiB, and the heap
	// exceeds its limit for moments when many connections are closed and opened. Never more
	// than half of the memory is left.
	memoryLimitDivisor = 4
	uncountedMemory    = 32 << 20
	// logFlushTimeout limits how long a stopping instance waits to write its log.
	logFlushTimeout = 200 * time.Millisecond
)

// Execute runs the instance until SIGTERM or SIGINT, then shuts down gracefully.
func (c *entryCommand) Execute([]string) error {
	cowslipsignal.IgnoreBrokenPipes()
	ctx := cowslipsignal.StopContext()
	o, err := c.options()
	if err != nil {
		return err
	}
	e, err := cowslipentry.New(o)
	if err != nil {
		return err
	}
	if c.NodeFile == "" {
		go ignoreReloads(o.Log)
	} else {
		go c.watchNodeFile(e)
		defer c.logWriter.Flush(logFlushTimeout)
	}
	return e.Run(ctx)
}

func (c *entryCommand) nodeFileOptions() (cowslipentry.Options, error) {
	s, err := platform.ReadSettings(c.NodeFile)
	if err != nil {
		return cowslipentry.Options{}, exitErrorf(exitUsage, "%v", err)
	}
	c.logWriter = cowsliplog.NewWriter(os.Stdout, 0)
	l := slog.New(cowsliplog.NewRateLimiter(slog.NewJSONHandler(c.logWriter, &slog.HandlerOptions{Level: slog.LevelInfo}), logRateLimit))
	slog.SetDefault(l)
	log.SetOutput(libraryLog{l})
	c.settings = s
	if m := s.Memory(); m > 0 {
		debug.SetMemoryLimit(m - min(max(m/memoryLimitDivisor, uncountedMemory), m/2))
	}
	return platform.NewOptions(s, l)
}

// checkRequired returns an error that names the first required setting that is missing.
func (c *entryCommand) checkRequired() error {
	for _, s := range []struct{ name, value string }{{"id", c.ID}, {"failure-domain", c.FailureDomain}, {"platform", c.Platform}} {
		if s.value == "" {
			return exitErrorf(exitUsage, "the required flag `--%s' was not specified; give it, or --node-file", s.name)
		}
	}
	return nil
}

func (c *entryCommand) options() (cowslipentry.Options, error) {
	if c.NodeFile != "" {
		return c.nodeFileOptions()
	}
	if err := c.checkRequired(); err != nil {
		return cowslipentry.Options{}, err
	}
	o := cowslipentry.Options{ID: c.ID, FailureDomain: c.FailureDomain, Advertise: c.Advertise, Seeds: c.Seeds, DrainWait: c.DrainWait, ClaimRate: c.ClaimRate, Token: c.Token, Log: newLogger(slog.LevelInfo)}
	o.Baseline = cowslipentry.Baseline{NoHedge: c.NoHedge, RoundRobin: c.RoundRobin, NoRamp: c.NoRamp, NoPool: c.NoPool, NoAdmission: c.NoAdmission}
	if c.DrainWait < 0 {
		return o, exitErrorf(exitUsage, "--drain-wait: %v is negative", c.DrainWait)
	}
	if c.ClaimRate <= 0 {
		return o, exitErrorf(exitUsage, "--claim-rate: %v is not above 0", c.ClaimRate)
	}
	if err := checkURL("--platform", c.Platform); err != nil {
		return o, err
	}
	var err error
	if o.CallersTLS, err = loadTLS("callers", c.CallersCert, c.CallersKey); err != nil {
		return o, err
	}
	if o.OperatorsTLS, err = loadTLS("operators", c.OperatorsCert, c.OperatorsKey); err != nil {
		return o, err
	}
	for _, l := range []struct {
		setting, addr string
		to            *net.Listener
	}{{"--callers", c.Callers, &o.Callers}, {"--operators", c.Operators, &o.Operators}, {"--peers", c.Peers, &o.Peers}} {
		if *l.to, err = net.Listen("tcp", l.addr); err != nil {
			return o, exitErrorf(exitUsage, "%s: %v", l.setting, err)
		}
	}
	o.Store = cowslipplatform.NewHTTP(c.Platform, c.ID)
	return o, nil
}

func loadTLS(name, cert, key string) (*tls.Config, error) {
	if cert == "" && key == "" {
		return nil, nil
	}
	p, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return nil, exitErrorf(exitUsage, "--%s-cert, --%s-key: %v", name, name, err)
	}
	return &tls.Config{Certificates: []tls.Certificate{p}, MinVersion: tls.VersionTLS12}, nil
}
