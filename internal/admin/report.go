package admin

import (
	"context"
	"net/http"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"
)

// ReportRoute returns a route that serves the result of make as JSON to
// operators with the role viewer.
func (a *API) ReportRoute(path string, make func(ctx context.Context) (any, error)) rest.Route {
	return rest.Route{Method: http.MethodGet, Path: path, Handler: a.guard(RoleViewer, func(w http.ResponseWriter, r *http.Request, _ Operator) error {
		report, err := make(r.Context())
		if err != nil {
			return err
		}
		httpx.WriteJson(w, http.StatusOK, report)
		return nil
	})}
}
