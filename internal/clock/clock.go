// Package clock reads a clock that also counts the time for which the machine
// was suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine's start, suspension included, as a
// time. Only differences between two such times mean something; steps of the
// time of day don't change them.
func Now() time.Time {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		// Linux has this clock since 2.6.39; without it the steady clock has to do.
		return time.Unix(0, int64(time.Since(started)))
	}
	return time.Unix(spec.Unix())
}

var started = time.Now()
