// Package membership keeps this process's view of the platform's list.
package membership

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"plantainrelay/internal/member"
	"plantainrelay/internal/platform"
)

const callTimeout = 3 * time.Second

// View polls the platform's list. It is safe for concurrent use.
type View struct {
	port     platform.InstanceList
	interval time.Duration
	log      *logrus.Entry
	current  atomic.Pointer[reading]
}

// reading is one list with the time at which it was asked for.
type reading struct {
	list member.List
	at   time.Time
}

// New returns a view that polls port at the given interval once it runs.
func New(port platform.InstanceList, interval time.Duration, log *logrus.Entry) *View {
	view := &View{port: port, interval: interval, log: log}
	view.current.Store(&reading{})
	return view
}

// Current returns the last list received; it is empty before the first.
func (v *View) Current() *member.List {
	return &v.current.Load().list
}

// Read returns the last list received and when it was asked for; the time is
// zero before the first.
func (v *View) Read() (*member.List, time.Time) {
	last := v.current.Load()
	return &last.list, last.at
}

// Run polls until ctx ends.
func (v *View) Run(ctx context.Context) {
	ticker := time.NewTicker(v.interval)
	defer ticker.Stop()
	for {
		v.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (v *View) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	at := time.Now()
	list, err := v.port.Instances(ctx)
	if err != nil {
		v.log.WithError(err).Warning("the list of instances is not available; the last one stays in use")
		return
	}
	v.current.Store(&reading{list: list, at: at})
}
