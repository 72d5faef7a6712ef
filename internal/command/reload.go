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

// reloadInterval is the time between two looks at the settings file, which may
// change without a signal.
const reloadInterval = 5 * time.Second

// Reload reads the settings again on SIGHUP and every few seconds, and calls
// changed when they differ, until ctx ends. Settings that cannot be read are
// logged, and the last good ones hold.
func Reload(ctx context.Context, last platform.Settings, log *logrus.Entry, changed func(platform.Settings)) {
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
				log.Info("SIGHUP: reading the settings again")
			case <-ticker.C:
			}
			next, err := platform.LoadSettings(last.Path)
			if err != nil {
				log.WithError(err).Error("the settings are ignored; the last good ones hold")
				continue
			}
			if !reflect.DeepEqual(next, last) {
				log.Info("the settings have changed")
				last = next
				changed(next)
			}
		}
	}()
}
