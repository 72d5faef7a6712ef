// Package entry wires the duties of plantain-entry together.
package entry

import (
	"time"

	"plantainrelay/internal/burn"
	"plantainrelay/internal/servicelevel"
	"plantainrelay/internal/settings"
)

// Settings are the settings of plantain-entry.
type Settings struct {
	settings.Common
	// PublicAddress takes callers' requests.
	PublicAddress string
	// AdminAddress serves the administration API, health and metrics.
	AdminAddress string
	// OperatorsFile names the operators and their roles.
	OperatorsFile string
	// StateInterval is the time between two reads of an agent's state.
	StateInterval time.Duration
	MaxBodyBytes  int64
	MaxAttempts   int64
	MaxSilence    time.Duration
	// MaxWait bounds how long a request waits for an available instance.
	MaxWait time.Duration
	// Objectives are the promises of the service-level report.
	Objectives burn.Targets
}

const (
	defaultBodyBytes = 8 << 20
	maxBodyBytes     = 64 << 20
)

// LoadSettings reads and checks the settings file at path.
func LoadSettings(path string) (Settings, error) {
	r, err := settings.Open(path)
	if err != nil {
		return Settings{}, err
	}
	loaded := Settings{
		Common:        settings.ReadCommon(r),
		PublicAddress: r.Address("listen", "public"),
		AdminAddress:  r.Address("listen", "admin"),
		OperatorsFile: r.Required("admin", "operators_file", "the path of the operators file"),
		StateInterval: r.Duration("control", "state_interval", 500*time.Millisecond, 50*time.Millisecond, time.Minute),
		MaxBodyBytes:  r.Bytes("requests", "max_body", defaultBodyBytes, 1, maxBodyBytes),
		MaxAttempts:   r.Int("requests", "max_attempts", 3, 1, 10),
		MaxWait:       r.Duration("requests", "max_wait", 5*time.Second, 0, time.Minute),
		MaxSilence:    r.Duration("requests", "max_silence", 10*time.Second, 100*time.Millisecond, 10*time.Minute),
		Objectives:    servicelevel.ReadTargets(r),
	}
	return loaded, r.Finish()
}
