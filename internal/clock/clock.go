// Package clock reads a clock that also counts the time for which the machine
// was suspended.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the boot of the machine, including suspension, as a
// time.Time. Only differences between two such times are meaningful; changes of
// the wall clock don't affect them.
func Now() time.Time {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		// Linux has CLOCK_BOOTTIME since 2.6.39. Without it, the monotonic clock is
		// used.
		return time.Unix(0, int64(time.Since(processStart)))
	}
	return time.Unix(spec.Unix())
}

var processStart = time.Now()

// Sleep waits for the duration, or until ctx is done. It reports whether the whole
// duration has passed.
func Sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}
