package main

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"cowslipflow/cowslipentry"
	"cowslipflow/platform"
)

// settingsPoll is how often the settings file is looked at: it may change without a
// signal.
const settingsPoll = 2 * time.Second

// watchNodeFile takes a changed settings file up: bounds at once; addresses and names
// hold for the life of a process and are reported. A file that is wrong is reported,
// and the settings in force stay.
func (c *entryCommand) watchNodeFile(ctx context.Context, e *cowslipentry.Entry) {
	h := make(chan os.Signal, 1)
	signal.Notify(h, syscall.SIGHUP)
	defer signal.Stop(h)
	t := time.NewTicker(settingsPoll)
	defer t.Stop()
	last, err := os.ReadFile(c.NodeFile)
	if err != nil {
		slog.Error("settings file not read", "error", err)
	}
	for {
		asked := false
		select {
		case <-ctx.Done():
			return
		case <-h:
			asked = true
		case <-t.C:
		}
		b, err := os.ReadFile(c.NodeFile)
		switch {
		case err != nil && asked:
			slog.Error("settings file not read; the settings in force stay", "error", err)
		case err == nil && (asked || !bytes.Equal(b, last)):
			last = b
			c.reload(b, e)
		}
	}
}

func (c *entryCommand) reload(b []byte, e *cowslipentry.Entry) {
	s, err := platform.ParseSettings(b)
	if err != nil {
		slog.Error("settings file rejected; the settings in force stay", "error", err)
		return
	}
	if l := s.ChangesNeedingRestart(c.settings); len(l) > 0 {
		slog.Warn("settings that hold for the life of a process have changed; they take effect at the next start", "fields", l)
	}
	e.Retune(s.Bounds(), platform.NewStoreCodec(s))
	slog.Info("settings file taken up")
}
