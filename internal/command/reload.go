package command

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"plantainrelay/platform"
)

// reloadInterval is the time between two reads of the settings file, which may
// change without a signal.
const reloadInterval = 5 * time.Second

// WatchSettings starts a goroutine that reads the settings again on SIGHUP and
// every reloadInterval, and calls onChange when they differ, until ctx ends. If
// the settings cannot be read, the error is logged and the last valid settings
// stay in use.
func WatchSettings(ctx context.Context, last platform.Settings, log *logrus.Entry, onChange func(platform.Settings)) {
	logWarnings(last, log)
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	go func() {
		ticker := time.NewTicker(reloadInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangup:
				log.Info("SIGHUP received; reloading the settings")
			case <-ticker.C:
			}
			next, err := platform.LoadSettings(last.Path)
			if err != nil {
				log.WithError(err).Error("cannot reload the settings; the last valid ones stay in use")
				continue
			}
			if !reflect.DeepEqual(next, last) {
				log.Info("the settings have changed")
				logWarnings(next, log)
				last = next
				onChange(next)
			}
		}
	}()
}

func logWarnings(s platform.Settings, log *logrus.Entry) {
	for _, warning := range s.Warnings {
		log.WithField("settings", s.Path).Warning(warning)
	}
}
