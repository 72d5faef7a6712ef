package daemon

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"
)

// Readiness holds the reasons why a process is not ready.
type Readiness struct {
	mu      sync.Mutex
	reasons map[string]string
}

// NewReadiness returns a Readiness without reasons, which means ready.
func NewReadiness() *Readiness {
	return &Readiness{reasons: map[string]string{}}
}

// SetReason records a reason under key; an empty reason clears it.
func (r *Readiness) SetReason(key, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reason == "" {
		delete(r.reasons, key)
		return
	}
	r.reasons[key] = reason
}

// Reasons returns a copy of the reasons by key.
func (r *Readiness) Reasons() map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	reasons := make(map[string]string, len(r.reasons))
	for key, reason := range r.reasons {
		reasons[key] = reason
	}
	return reasons
}

// readinessInterval is the time between two evaluations of a watched reason.
const readinessInterval = 200 * time.Millisecond

// WatchReason calls reason periodically and records its result under key, until
// ctx ends.
func (r *Readiness) WatchReason(ctx context.Context, key string, reason func() string) {
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	for {
		r.SetReason(key, reason())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

type healthResponse struct {
	Status  string            `json:"status"`
	Reasons map[string]string `json:"reasons,omitempty"`
}

// HealthAndMetricsRoutes returns /healthz, /readyz and /metrics.
func HealthAndMetricsRoutes(readiness *Readiness, registry *prometheus.Registry) []rest.Route {
	metrics := promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
	return []rest.Route{
		{Method: http.MethodGet, Path: "/healthz", Handler: func(w http.ResponseWriter, _ *http.Request) {
			httpx.WriteJson(w, http.StatusOK, healthResponse{Status: "ok"})
		}},
		{Method: http.MethodGet, Path: "/readyz", Handler: readiness.serve},
		{Method: http.MethodGet, Path: "/metrics", Handler: metrics.ServeHTTP},
	}
}

func (r *Readiness) serve(w http.ResponseWriter, _ *http.Request) {
	reasons := r.Reasons()
	if len(reasons) > 0 {
		httpx.WriteJson(w, http.StatusServiceUnavailable, healthResponse{Status: "not ready", Reasons: reasons})
		return
	}
	httpx.WriteJson(w, http.StatusOK, healthResponse{Status: "ready"})
}
