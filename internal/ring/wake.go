// Package ring holds what the bounded channels between duties share.
package ring

// Wake leaves a value in a channel that has room for one, and does nothing when
// one waits there already.
func Wake(waiting chan struct{}) {
	select {
	case waiting <- struct{}{}:
	default:
	}
}
