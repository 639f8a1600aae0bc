package cowslipsignal

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// reloads receives SIGHUP from the initialization of this package on, since its default action
// would end a process that is still starting. One signal that waits is enough, as the
// settings are read after it.
var reloads = caught(syscall.SIGHUP)

func caught(s os.Signal) <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, s)
	return c
}

// Reloads returns the channel that receives SIGHUP.
func Reloads() <-chan os.Signal { return reloads }

// IgnoreBrokenPipes makes writes to a pipe without a reader fail, on standard output and
// standard error too, where they would end the process otherwise.
func IgnoreBrokenPipes() { signal.Ignore(syscall.SIGPIPE) }

// StopContext returns a context that SIGTERM or SIGINT cancels. Both stay caught until the
// process exits, so that a second one doesn't cut the stop short.
func StopContext() context.Context {
	c, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	return c
}

// EndOnHangup gives SIGHUP its default action, which ends the process. It is for commands
// that serve nobody.
func EndOnHangup() { signal.Reset(syscall.SIGHUP) }
