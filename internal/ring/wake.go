// Package ring wakes background tasks through channels of capacity one.
package ring

// Notify sends a wake-up signal to a channel of capacity one. It does not block,
// and does nothing if a signal is pending already.
func Notify(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}
