// Package ring holds a helper for the bounded channels between background tasks.
package ring

// Wake sends a wake-up signal to a channel of capacity one. It does not block, and
// does nothing if a signal is pending already.
func Wake(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}
