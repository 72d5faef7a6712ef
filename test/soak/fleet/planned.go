package fleet

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"plantainrelay/platform/standin"
	"plantainrelay/test/testfleet"
)

// Planned work and pauses of whole processes as on a busy machine. None of it is a fault that
// excuses a cut request.

const (
	minSeriesPause = 500 * time.Millisecond
	maxSeriesPause = 2 * time.Second
	readyTimeout   = 5 * time.Second
	minPause       = time.Second
	maxPause       = 1500 * time.Millisecond
	// fillTime is how long the pool of engines has been nearly full before an engine pauses,
	// afterPause how long it stays so after the pause.
	fillTime   = time.Second
	afterPause = 1500 * time.Millisecond
	// maxFreeSlots is the highest number of free slots of a nearly full pool, firstFiller the
	// number of the first caller that fills it.
	maxFreeSlots = 8
	firstFiller  = 1000
)

var plannedFaults = []fault{
	{"entries stopped in series", (*run).stopInSeries},
	{"instances paused together", func(r *run) error { return r.pauseTogether(r.isBackend, pausedInstances) }},
	{"engines paused in a full pool", func(r *run) error { return r.pauseInFullPool(false) }},
	{"engines paused in a full pool beside a stop", func(r *run) error { return r.pauseInFullPool(true) }},
	{"entries paused beside a stop", (*run).pauseBesideStop},
	{"reloads beside a stop", func(r *run) error { return r.reloadBesideStop(false) }},
	{"late release beside silent engines", (*run).releaseLate},
	{"reloads and new tables beside a stop", func(r *run) error { return r.reloadBesideStop(true) }},
}

// randomTime returns a random time between two bounds.
func (r *run) randomTime(from, to time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return from + time.Duration(r.random.Int64N(int64(to-from)))
}

// randomInt returns a random number from 0 to below end.
func (r *run) randomInt(end int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(end)
}

// chance is true half of the time.
func (r *run) chance() bool { return r.randomInt(2) == 0 }

// stopInSeries stops entries one after the other while the callers of the first ones come
// over, and starts each one again. Some are stopped a second time soon after that.
func (r *run) stopInSeries() error {
	release := r.reserve("series")
	if release == nil {
		return nil
	}
	defer release()
	var group sync.WaitGroup
	defer group.Wait()
	for count := max(2, len(r.entries())/2); count > 0; count-- {
		instance, done := r.reserveInstance(r.isEntry)
		if instance == nil {
			return nil
		}
		again, pause := r.chance(), r.randomTime(minSeriesPause, maxSeriesPause)
		group.Go(func() {
			defer done()
			r.stopAndStart(instance)
			if again {
				awaitReady(instance)
				time.Sleep(pause)
				r.stopAndStart(instance)
			}
		})
		time.Sleep(r.randomTime(minSeriesPause, maxSeriesPause))
	}
	return nil
}

// awaitReady waits until an entry reports that it is ready, for readyTimeout at most.
func awaitReady(instance *testfleet.Instance) {
	client := http.Client{Timeout: time.Second}
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(stallCheckInterval) {
		response, err := client.Get(fmt.Sprintf("http://%s:%d%s", instance.IP, standin.PortReady, standin.ReadyPath))
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
}

// pauseTogether pauses some instances at once and waits until they go on.
func (r *run) pauseTogether(matches func(*testfleet.Instance) bool, count int) error {
	longest := time.Duration(0)
	for range count {
		instance, done := r.reserveInstance(matches)
		if instance == nil {
			break
		}
		defer done()
		pause := r.randomTime(minPause, maxPause)
		longest = max(longest, pause)
		instance.Backend.Pause(pause)
	}
	time.Sleep(longest)
	return nil
}

// inFullPool runs a function while long streams take nearly all slots of the engines. It
// does nothing if the pool is already filled.
func (r *run) inFullPool(inject func() error) error {
	release := r.reserve("full pool")
	if release == nil {
		return nil
	}
	defer release()
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	r.fillPool(ctx, &group)
	time.Sleep(fillTime)
	err := inject()
	time.Sleep(afterPause)
	return err
}

// pauseInFullPool pauses one or two engines of a nearly full pool, with or without the stop
// of an entry beside it.
func (r *run) pauseInFullPool(stop bool) error {
	var stopped sync.WaitGroup
	defer stopped.Wait()
	return r.inFullPool(func() error {
		if stop {
			stopped.Go(func() {
				if err := r.stopEntry(); err != nil {
					r.history.addViolation("SOAK", err.Error())
				}
			})
			time.Sleep(r.randomTime(0, maxSeriesPause))
		}
		count := 1
		if r.chance() {
			count = 2
		}
		return r.pauseTogether(r.isAgent, count)
	})
}

// pauseBesideStop pauses an entry after its SIGTERM together with half of the others, while
// the pool is nearly full.
func (r *run) pauseBesideStop() error {
	stopping, done := r.reserveInstance(r.isEntry)
	if stopping == nil {
		return nil
	}
	defer done()
	paused := []*testfleet.Instance{stopping}
	for range len(r.entries()) / 2 {
		if instance, done := r.reserveInstance(r.isEntry); instance != nil {
			defer done()
			paused = append(paused, instance)
		}
	}
	var stopped sync.WaitGroup
	defer stopped.Wait()
	return r.inFullPool(func() error {
		stopped.Go(func() { r.stopAndStart(stopping) })
		time.Sleep(r.randomTime(minSeriesPause, maxSeriesPause))
		if err := r.signalAll(paused, syscall.SIGSTOP); err != nil {
			return err
		}
		time.Sleep(r.randomTime(minPause, maxPause))
		return r.signalAll(paused, syscall.SIGCONT)
	})
}

func (r *run) signalAll(instances []*testfleet.Instance, signal syscall.Signal) error {
	for _, instance := range instances {
		if err := r.Signal(instance, signal); err != nil {
			return err
		}
	}
	return nil
}

// fillPool adds callers of long streams until ctx ends. With the other callers, which are in
// a stream about half of the time, they take all slots of the engines but a few.
func (r *run) fillPool(ctx context.Context, group *sync.WaitGroup) {
	r.mu.Lock()
	free := 2 + r.random.IntN(maxFreeSlots-1)
	r.mu.Unlock()
	slots := r.table.Pools[0].Slots * r.config.Engines * len(testfleet.ZoneRegions)
	for number := range slots - free - r.config.Callers/2 {
		group.Go(func() {
			caller := r.load.newCaller(firstFiller + number)
			caller.longShare = 1
			defer caller.client.CloseIdleConnections()
			for ctx.Err() == nil {
				caller.send(ctx, standin.Streaming, "key-1")
				time.Sleep(thinkTime)
			}
		})
	}
}

// reloadBesideStop sends SIGHUP to an entry shortly before and after SIGTERM, and to another
// one, and changes the tables if newTables is set.
func (r *run) reloadBesideStop(newTables bool) error {
	instance, done := r.reserveInstance(r.isEntry)
	if instance == nil {
		return nil
	}
	defer done()
	if err := r.reload(instance); err != nil {
		return err
	}
	time.Sleep(r.randomTime(0, minSeriesPause))
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { r.stopAndStart(instance) })
	time.Sleep(r.randomTime(0, maxSeriesPause))
	if newTables {
		if err := r.changeRoute(); err != nil {
			return err
		}
	}
	if err := r.reloadSettings(); err != nil {
		return err
	}
	return r.reload(instance)
}

// reload sends SIGHUP to a process.
func (r *run) reload(instance *testfleet.Instance) error {
	r.history.addReload(instance.Name, time.Now())
	return r.Signal(instance, syscall.SIGHUP)
}
