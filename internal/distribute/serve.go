package distribute

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"plantainrelay/internal/message"
	"plantainrelay/internal/weights"
)

// uploadWait limits how long a request for a chunk waits while MaxUploads uploads
// are in progress.
const uploadWait = 2 * time.Second

// ChunkRoute returns the route that serves staged chunks to authenticated agents.
func (d *Driver) ChunkRoute() rest.Route {
	return rest.Route{Method: http.MethodGet, Path: message.PathChunk, Handler: d.serveChunk}
}

func (d *Driver) serveChunk(w http.ResponseWriter, r *http.Request) {
	if !d.config.Security.Authorized(r) {
		http.Error(w, "the fleet's key or certificate is missing or wrong", http.StatusUnauthorized)
		return
	}
	vars := pathvar.Vars(r)
	manifest := weights.Digest(vars["manifest"])
	chunk, err := strconv.Atoi(vars["chunk"])
	if err != nil || chunk < 0 || !manifest.Valid() {
		http.Error(w, "name a manifest digest and a chunk number", http.StatusBadRequest)
		return
	}
	// An instance of a service pool has no target. Its backend server would execute
	// the request for a chunk as an ordinary request.
	if d.Status().Target.Manifest == "" {
		http.Error(w, "the chunk is not held here", http.StatusNotFound)
		return
	}
	wait, cancel := context.WithTimeout(r.Context(), uploadWait)
	defer cancel()
	if err := d.uploads.Acquire(wait, 1); err != nil {
		http.Error(w, "too many chunks are served at the moment", http.StatusServiceUnavailable)
		return
	}
	defer d.uploads.Release(1)
	body, err := d.controller.ReadStaged(r.Context(), manifest, chunk)
	if err != nil {
		http.Error(w, "the chunk is not held here", http.StatusNotFound)
		return
	}
	defer body.Close()
	_, _ = io.Copy(w, body)
}
