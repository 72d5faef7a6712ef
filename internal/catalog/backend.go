package catalog

// Backend is one backend server instance as the platform lists it.
type Backend struct {
	// ID changes with most restarts; Born is the start in Unix milliseconds.
	ID   string
	Born int64
	Pool string
	// Address is "IP:port"; Host is its IP.
	Address          string
	Host             string
	AvailabilityZone string
	Slots            int
	// Leaving instances take no new requests.
	Leaving bool
	// Loaded holds the versions of the weights that are whole, by model.
	Loaded map[string]int64
}

// Release names the intended version of a model's weights.
type Release struct {
	Model   string
	Version int64
}
