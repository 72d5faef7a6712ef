package catalog

// Backend is one backend server instance in the platform's list.
type Backend struct {
	// ID changes with most restarts; Start is the start time in Unix milliseconds.
	ID    string
	Start int64
	Pool  string
	// Address is "IP:port"; Host is its IP.
	Address          string
	Host             string
	AvailabilityZone string
	Slots            int
	// Leaving says that the instance is shutting down and takes no new requests.
	Leaving bool
	// LoadedVersions holds the versions of the completely loaded weights, by model.
	LoadedVersions map[string]int64
}

// Release names the target version of a model's weights.
type Release struct {
	Model   string
	Version int64
}
