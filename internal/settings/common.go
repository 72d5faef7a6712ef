package settings

import (
	"time"

	"plantainrelay/internal/certs"
)

// Common holds the settings that all daemons share.
type Common struct {
	// Instance is this instance's name in the platform's list.
	Instance         string
	AvailabilityZone string
	Region           string
	LogLevel         string
	// FleetKey is the secret shared by all processes of the fleet.
	FleetKey string
	// ControlAddress is the address on which this process listens for net/rpc.
	ControlAddress string

	StoreURL  string
	OriginURL string
	ListURL   string

	// ExchangeInterval is the time between two exchanges of table
	// revisions with a peer.
	ExchangeInterval time.Duration
	// ListInterval is the time between two reads of the list of instances.
	ListInterval time.Duration
	// LeaveDelay and DrainLimit: see daemon.Config.
	LeaveDelay time.Duration
	DrainLimit time.Duration
	// MaxConnections and StallLimit: see daemon.Config.
	MaxConnections int64
	StallLimit     time.Duration
	// FleetCertificate, when set, enables mutual TLS between the processes of
	// the fleet. FleetServerName is the server name in each of their
	// certificates.
	FleetCertificate certs.Files
	FleetServerName  string
	// UsageInterval is the time between two reports of usage to the store.
	UsageInterval time.Duration
}

// ReadCommon reads the settings that all daemons share.
func ReadCommon(r *Reader) Common {
	common := Common{
		Instance:         r.Required("instance", "name", "this instance's name in the platform's list"),
		AvailabilityZone: r.Required("instance", "availability_zone", "the availability zone's name"),
		Region:           r.Required("instance", "region", "the region's name"),
		LogLevel:         r.Choice("log", "level", "info", "debug", "info", "warning", "error"),
		FleetKey:         r.Secret("fleet", "key_file"),
		ControlAddress:   r.Address("listen", "control"),
		StoreURL:         r.URL("platform", "store_url"),
		OriginURL:        r.URL("platform", "origin_url"),
		ListURL:          r.URL("platform", "list_url"),
		ExchangeInterval: r.Duration("control", "exchange_interval", 2*time.Second, 50*time.Millisecond, time.Minute),
		ListInterval:     r.Duration("control", "list_interval", 1500*time.Millisecond, 100*time.Millisecond, time.Minute),
		LeaveDelay:       r.Duration("shutdown", "leave_delay", 5*time.Second, 0, time.Minute),
		DrainLimit:       r.Duration("shutdown", "drain_limit", 10*time.Minute, time.Second, 24*time.Hour),
		MaxConnections:   r.Int("listen", "max_connections", 4096, 16, 65536),
		StallLimit:       r.Duration("listen", "stall_limit", 30*time.Second, time.Second, 10*time.Minute),
		FleetCertificate: r.CertificateFiles("fleet", true),
		FleetServerName:  r.String(sectionTLS, "fleet_server_name", "plantainrelay"),
		UsageInterval:    r.Duration("usage", "flush_interval", 5*time.Minute, 100*time.Millisecond, time.Hour),
	}
	if common.FleetKey == "" {
		r.AddProblem("fleet", "key_file", "missing", "the path of a file that holds the fleet's key")
	}
	return common
}
