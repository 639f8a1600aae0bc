// Package cowslipsignal decides what the signals of the operating system do to a process that
// serves callers. SIGTERM and SIGINT stop it, SIGHUP makes it read its settings again, and
// SIGPIPE does nothing. None of them ends it at once, from the initialization of this package
// until the process exits. SIGQUIT and SIGABRT keep the action of the Go runtime: they print
// all goroutines and end the process.
package cowslipsignal
