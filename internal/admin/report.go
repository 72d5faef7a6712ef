package admin

import (
	"context"
	"net/http"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"
)

// ReportRoute returns a route that serves the result of build as JSON to
// operators with the role viewer.
func (a *API) ReportRoute(path string, build func(ctx context.Context) (any, error)) rest.Route {
	return rest.Route{Method: http.MethodGet, Path: path, Handler: a.requireRole(RoleViewer, func(w http.ResponseWriter, r *http.Request, _ Operator) error {
		report, err := build(r.Context())
		if err != nil {
			return err
		}
		httpx.WriteJson(w, http.StatusOK, report)
		return nil
	})}
}
