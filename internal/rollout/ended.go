package rollout

// EngineState is the state of a model engine in one of its reports: when it started, in
// Unix milliseconds, and the version that it serves, 0 for none.
type EngineState struct {
	Start, Version int64
}

// SwitchEnded reports whether an instance that stopped taking requests, in order to load
// a version, may take them again. last and current are successive states of its engine.
// A newer release may have changed the target while the engine was loading, so that the
// engine serves a newer version than before, but not the target.
func SwitchEnded(last, current EngineState, target int64) bool {
	return current.Version == target || current.Version > last.Version || current.Start != last.Start
}
