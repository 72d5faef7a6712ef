package admin

import (
	"context"
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"

	"plantainrelay/internal/failure"
	"plantainrelay/internal/metering"
)

// UsageReporter returns the usage in a time range.
type UsageReporter interface {
	Report(ctx context.Context, from, to time.Time) (metering.Report, error)
}

// UsageRoute returns the route of the usage report.
func (a *API) UsageRoute(reporter UsageReporter) rest.Route {
	return rest.Route{Method: http.MethodGet, Path: "/v1/usage", Handler: a.requireRole(RoleViewer, func(w http.ResponseWriter, r *http.Request, _ Operator) error {
		from, err := queryTime(r, "from")
		if err != nil {
			return err
		}
		to, err := queryTime(r, "to")
		if err != nil {
			return err
		}
		report, err := reporter.Report(r.Context(), from, to)
		if err != nil {
			return err
		}
		httpx.WriteJson(w, http.StatusOK, report)
		return nil
	})}
}

func queryTime(r *http.Request, name string) (time.Time, error) {
	parsed, err := time.Parse(time.RFC3339, r.URL.Query().Get(name))
	return parsed, failure.Wrap(err, failure.Invalid, "write it as 2026-12-03T22:00:00Z", "the query parameter %q is not a valid time", name)
}
