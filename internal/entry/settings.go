// Package entry wires the components of plantain-entry together.
package entry

import (
	"time"

	"plantainrelay/internal/admin"
	"plantainrelay/internal/burn"
	"plantainrelay/internal/certs"
	"plantainrelay/internal/gateway"
	"plantainrelay/internal/servicelevel"
	"plantainrelay/internal/settings"
)

// Settings are the settings of plantain-entry.
type Settings struct {
	settings.Common
	// PublicAddress is the listen address for callers' requests.
	PublicAddress string
	// AdminAddress is the listen address for the administration API, the health
	// checks and the metrics.
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
	// MaxRunningPerCustomer bounds one customer's requests in progress in one
	// pool through this entry; 0 means no bound.
	MaxRunningPerCustomer int64
	// StatusQueryInterval is the pause between two status queries for one
	// attempt.
	StatusQueryInterval time.Duration
	// RetryAfter is the time after which a rejected caller may retry.
	RetryAfter time.Duration
	// WatchWait is how long one watch call to the store waits for a change.
	WatchWait time.Duration
	// CustomersFile holds the customers' keys. Without it TrustHeader must be
	// set, and the header that names the customer is trusted unverified.
	CustomersFile string
	TrustHeader   bool
	// CallersCertificate, when set, enables TLS for callers, and mutual TLS when
	// it names a CA file. AdminCertificate does the same for the administration
	// API.
	CallersCertificate certs.Files
	AdminCertificate   certs.Files
	// Objectives are the service-level objectives that the report compares with.
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
	return ReadSettings(r)
}

// ReadSettings reads and checks the settings of r.
func ReadSettings(r *settings.Reader) (Settings, error) {
	loaded := Settings{
		Common:                settings.ReadCommon(r),
		PublicAddress:         r.Address("listen", "public"),
		AdminAddress:          r.Address("listen", "admin"),
		OperatorsFile:         r.Required("admin", "operators_file", "the path of the operators file"),
		StateInterval:         r.Duration("control", "state_interval", 2*time.Second, 50*time.Millisecond, 2*time.Second),
		MaxBodyBytes:          r.Bytes("requests", "max_body", defaultBodyBytes, 1, maxBodyBytes),
		MaxAttempts:           r.Int("requests", "max_attempts", 3, 1, 10),
		MaxWait:               r.Duration("requests", "max_wait", 5*time.Second, 0, time.Minute),
		MaxRunningPerCustomer: r.Int("requests", "max_running_per_customer", 0, 0, 1000000),
		MaxSilence:            r.Duration("requests", "max_silence", 10*time.Second, 100*time.Millisecond, 10*time.Minute),
		StatusQueryInterval:   r.Duration("requests", "ask_interval", 300*time.Millisecond, 10*time.Millisecond, 10*time.Second),
		RetryAfter:            r.Duration("requests", "retry_after", 3*time.Second, time.Second, 10*time.Minute),
		WatchWait:             r.Duration("control", "watch_wait", 10*time.Second, time.Second, time.Minute),
		CustomersFile:         r.String("customers", "keys_file", ""),
		TrustHeader:           r.Choice("customers", "trust_header", "no", "yes", "no") == "yes",

		CallersCertificate: r.CertificateFiles("callers", false),
		AdminCertificate:   r.CertificateFiles("admin", false),
		Objectives:         servicelevel.ReadTargets(r),
	}
	checkCombinations(r, loaded)
	return loaded, r.Finish()
}

// checkCombinations records the problems that span several keys or files.
func checkCombinations(r *settings.Reader, s Settings) {
	const choice = "a file of customers' keys as keys_file, or trust_header = yes if only trusted systems can reach the entries"
	switch {
	case s.CustomersFile == "" && !s.TrustHeader:
		r.AddProblem("customers", "keys_file", "missing, and trust_header is no", choice)
	case s.CustomersFile != "" && s.TrustHeader:
		r.AddProblem("customers", "trust_header", "contradicts keys_file", choice)
	case s.CustomersFile != "":
		if _, err := gateway.LoadTokenIdentifier(s.CustomersFile); err != nil {
			r.AddProblem("customers", "keys_file", err.Error(), "the path of a valid file of customers' keys")
		}
	}
	if s.OperatorsFile != "" {
		if _, err := admin.LoadOperators(s.OperatorsFile); err != nil {
			r.AddProblem("admin", "operators_file", err.Error(), "the path of a valid operators file")
		}
	}
	if s.StatusQueryInterval >= s.MaxSilence {
		r.AddProblem("requests", "ask_interval", "not below max_silence", "a time below "+s.MaxSilence.String())
	}
	r.RequireDistinct(
		settings.Key{Section: "listen", Name: "control", Value: s.ControlAddress},
		settings.Key{Section: "listen", Name: "public", Value: s.PublicAddress},
		settings.Key{Section: "listen", Name: "admin", Value: s.AdminAddress},
	)
}
