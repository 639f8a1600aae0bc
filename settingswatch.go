package main

import (
	"bytes"
	"log/slog"
	"os"
	"time"

	"cowslipflow/cowslipentry"
	"cowslipflow/cowslipsignal"
	"cowslipflow/platform"
)

// settingsPollInterval is the interval between reads of the settings file, which may
// change without a signal.
const settingsPollInterval = 2 * time.Second

// watchNodeFile applies the settings file when it changes and on SIGHUP. Changed bounds
// take effect at once. Settings such as addresses, names and the CPU limits are fixed while
// the process runs, so a change of them is only logged. If the file is invalid, the error
// is logged and the settings in force stay. It goes on while the instance stops, until the
// process exits.
func (c *entryCommand) watchNodeFile(e *cowslipentry.Entry) {
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	last, err := os.ReadFile(c.NodeFile)
	if err != nil {
		slog.Error("cannot read settings file", "error", err)
	}
	for {
		signalled := false
		select {
		case <-cowslipsignal.Reloads():
			signalled = true
		case <-t.C:
		}
		b, err := os.ReadFile(c.NodeFile)
		switch {
		case err != nil && signalled:
			slog.Error("cannot read settings file; the settings in force stay", "error", err)
		case err == nil && (signalled || !bytes.Equal(b, last)):
			last = b
			c.reload(b, e)
		}
	}
}

// ignoreReloads logs each SIGHUP of an instance that has no settings file.
func ignoreReloads(l *slog.Logger) {
	for range cowslipsignal.Reloads() {
		l.Info("SIGHUP ignored: there is no settings file to read again")
	}
}

func (c *entryCommand) reload(b []byte, e *cowslipentry.Entry) {
	s, err := platform.ParseSettings(b)
	if err != nil {
		slog.Error("settings file rejected; the settings in force stay", "error", err)
		return
	}
	if l := s.ChangesNeedingRestart(c.settings); len(l) > 0 {
		slog.Warn("changed settings that are fixed while the process runs take effect at the next start", "fields", l)
	}
	e.UpdateSettings(s.Bounds(), platform.NewStoreCodec(s))
	slog.Info("settings file applied")
}
