// Package agent assembles the components of plantain-agent.
package agent

import (
	"time"

	"plantainrelay/internal/settings"
	"plantainrelay/internal/weights"
)

// Settings are the settings of plantain-agent.
type Settings struct {
	settings.Common
	// HTTPAddress is the listen address for attempts from entries and chunk
	// requests from agents.
	HTTPAddress string
	// BackendURL is the URL of the backend server on this instance.
	BackendURL string
	// MaxRunning limits the requests in progress on the backend server.
	MaxRunning int64
	// MaxStoredResponse limits one stored response, in bytes.
	MaxStoredResponse int64
	// MaxStoredTotal limits all stored responses, in bytes.
	MaxStoredTotal int64
	// MaxInFlight limits concurrent chunk fetches.
	MaxInFlight int64
	// MaxUploads limits the chunks served concurrently to other agents.
	MaxUploads int64
	// ChunkMemory limits the memory for chunk buffers, in bytes.
	ChunkMemory int64
	// RegionRate limits, in bytes per second, the weights that all instances of a
	// region together fetch from other regions; 0 means no limit.
	RegionRate    int64
	ChunkTimeout  time.Duration
	StallTimeout  time.Duration
	TakeoverDelay time.Duration
	LoadTimeout   time.Duration
	// LoadRetryDelay is the delay after a failed load.
	LoadRetryDelay time.Duration
	// AnnounceInterval is the time between two announcements to a tracker.
	AnnounceInterval time.Duration
	// MaxRecords limits the recorded attempts.
	MaxRecords int64
	// MaxBodyBytes limits the body of an attempt.
	MaxBodyBytes int64
}

const (
	defaultStoredResponse = 64 << 10
	maxStoredResponse     = 16 << 20
	// defaultRegionRate leaves half of a link of 20 Mbit/s to live requests.
	defaultRegionRate = 1250 << 10
	maxRegionRate     = 1 << 40
	maxChunkMemory    = 8 << 30
	// maxBodyBytes is also the highest limit that can be set for an entry.
	maxBodyBytes = 64 << 20

	defaultStoredTotal = 32 << 20
	maxStoredTotal     = 1 << 30
)

// LoadSettings reads and checks the settings file at path.
func LoadSettings(path string) (Settings, error) {
	r, err := settings.Open(path)
	if err != nil {
		return Settings{}, err
	}
	return ReadSettings(r)
}

// ReadSettings reads and checks the settings of r.
func ReadSettings(r *settings.Reader) (Settings, error) {
	loaded := Settings{
		Common:            settings.ReadCommon(r),
		HTTPAddress:       r.Address("listen", "http"),
		BackendURL:        r.URL("backend", "url"),
		MaxRunning:        r.Int("backend", "max_running", 64, 1, 100000),
		MaxStoredResponse: r.Bytes("backend", "max_kept_answer", defaultStoredResponse, 0, maxStoredResponse),
		MaxStoredTotal:    r.Bytes("backend", "max_kept_total", defaultStoredTotal, 0, maxStoredTotal),
		MaxInFlight:       r.Int("weights", "max_in_flight", 16, 1, 64),
		MaxUploads:        r.Int("weights", "max_uploads", 16, 1, 1024),
		ChunkMemory:       r.Bytes("weights", "chunk_memory", weights.MaxChunkBytes, weights.MaxChunkBytes, maxChunkMemory),
		RegionRate:        r.Bytes("weights", "region_rate", defaultRegionRate, 0, maxRegionRate),
		ChunkTimeout:      r.Duration("weights", "chunk_timeout", 30*time.Second, time.Second, time.Hour),
		StallTimeout:      r.Duration("weights", "stall_timeout", 3*time.Second, 100*time.Millisecond, time.Minute),
		TakeoverDelay:     r.Duration("weights", "patience", 10*time.Second, time.Second, time.Hour),
		LoadTimeout:       r.Duration("weights", "load_timeout", 10*time.Minute, time.Second, 24*time.Hour),
		LoadRetryDelay:    r.Duration("weights", "load_retry", time.Second, 100*time.Millisecond, 10*time.Minute),

		AnnounceInterval: r.Duration("weights", "announce_interval", 250*time.Millisecond, 50*time.Millisecond, time.Minute),
		MaxRecords:       r.Int("backend", "max_records", 20000, 1000, 1000000),
		MaxBodyBytes:     r.Bytes("backend", "max_body", maxBodyBytes, 1, maxBodyBytes),
	}
	if loaded.MaxRecords < 2*loaded.MaxRunning {
		r.AddProblem("backend", "max_records", "less than twice max_running", "at least twice max_running")
	}
	r.RequireDistinct(
		settings.Key{Section: "listen", Name: "control", Value: loaded.ControlAddress},
		settings.Key{Section: "listen", Name: "http", Value: loaded.HTTPAddress},
	)
	return loaded, r.Finish()
}
