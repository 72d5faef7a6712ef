// Package engine defines the interface for controlling a model engine and
// implements its HTTP client. Requests to engines and plain services pass through
// package gate.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/zeromicro/go-zero/rest/httpc"

	"plantainrelay/internal/failure"
	"plantainrelay/internal/weights"
)

const (
	maxResponseBytes = 1 << 20
	remedyEngine     = "check the engine on this instance"
)

// Response headers in which an engine identifies the weights that produced the
// response.
const (
	HeaderVersion  = "X-Engine-Version"
	HeaderManifest = "X-Engine-Manifest"
	HeaderWhole    = "X-Engine-Whole"
)

// Response headers in which a backend server reports the token counts of the
// request and of the response. A stream without HeaderTokensOut has one token in
// each event.
const (
	HeaderTokensIn  = "X-Tokens-In"
	HeaderTokensOut = "X-Tokens-Out"
)

// Status is the state that an engine reports.
type Status struct {
	// Incarnation changes when the engine restarts.
	Incarnation string         `json:"incarnation"`
	Version     string         `json:"version"`
	Manifest    weights.Digest `json:"manifest"`
	// Whole is the digest of all bytes of the weights that the engine serves.
	Whole weights.Digest `json:"whole"`
	// Fence is the highest fencing token that the engine has accepted.
	Fence   int64 `json:"fence"`
	Running int   `json:"running"`
	Queued  int   `json:"queued"`
}

// Order is an order to load staged weights.
type Order struct {
	Version  string         `json:"version"`
	Manifest weights.Digest `json:"manifest"`
	Whole    weights.Digest `json:"whole"`
	Chunks   int            `json:"chunks"`
	// Fence is the fencing token. An engine that supports fencing rejects an order
	// whose token is lower than the highest one it has accepted.
	Fence int64 `json:"fence"`
}

// Controller is the interface for controlling a model engine.
type Controller interface {
	// Status returns the engine's current state.
	Status(ctx context.Context) (Status, error)
	// Staged returns the numbers of the chunks of manifest that are staged.
	Staged(ctx context.Context, manifest weights.Digest) ([]int, error)
	// Stage uploads one verified chunk.
	Stage(ctx context.Context, manifest weights.Digest, chunk int, data []byte) error
	// ReadStaged opens a staged chunk, which the caller closes. It returns
	// failure.NotFound if the chunk is not staged.
	ReadStaged(ctx context.Context, manifest weights.Digest, chunk int) (io.ReadCloser, error)
	// Load orders the engine to load and serve staged weights and waits for the
	// result. It returns failure.Refused if the engine rejects the order.
	Load(ctx context.Context, order Order) error
}

// Client calls a model engine over HTTP. It implements Controller.
type Client struct {
	baseURL string
}

// New returns a client for the engine at baseURL, an absolute URL.
func New(baseURL string) *Client {
	return &Client{baseURL: baseURL}
}

// Status implements Controller.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	raw, err := c.do(ctx, http.MethodGet, "/v1/status", nil)
	if err != nil {
		return status, err
	}
	err = json.Unmarshal(raw, &status)
	return status, failure.Wrap(err, failure.Unknown, remedyEngine, "the engine's status is garbled")
}

// Staged implements Controller.
func (c *Client) Staged(ctx context.Context, manifest weights.Digest) ([]int, error) {
	raw, err := c.do(ctx, http.MethodGet, "/v1/staging/"+string(manifest), nil)
	if err != nil {
		return nil, err
	}
	var chunks []int
	err = json.Unmarshal(raw, &chunks)
	return chunks, failure.Wrap(err, failure.Unknown, remedyEngine, "the engine's list of chunks is garbled")
}

// Stage implements Controller.
func (c *Client) Stage(ctx context.Context, manifest weights.Digest, chunk int, data []byte) error {
	_, err := c.do(ctx, http.MethodPut, chunkPath(manifest, chunk), data)
	return err
}

// ReadStaged implements Controller.
func (c *Client) ReadStaged(ctx context.Context, manifest weights.Digest, chunk int) (io.ReadCloser, error) {
	path := chunkPath(manifest, chunk)
	response, err := c.send(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusOK {
		return response.Body, nil
	}
	response.Body.Close()
	return nil, failure.New(failure.NotFound, remedyEngine, "the engine does not hold %s", path)
}

// Load implements Controller.
func (c *Client) Load(ctx context.Context, order Order) error {
	raw, err := json.Marshal(order)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "report this", "the order cannot be encoded")
	}
	_, err = c.do(ctx, http.MethodPost, "/v1/load", raw)
	return err
}

func chunkPath(manifest weights.Digest, chunk int) string {
	return fmt.Sprintf("/v1/staging/%s/%d", manifest, chunk)
}

func (c *Client) send(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, failure.Wrap(err, failure.Invalid, remedyEngine, "the engine's address is not usable")
	}
	response, err := httpc.DoRequest(request)
	return response, failure.Wrap(err, failure.NotReachable, remedyEngine, "the engine did not answer %s", path)
}

func (c *Client) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	response, err := c.send(ctx, method, path, body)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, failure.Wrap(err, failure.NotReachable, remedyEngine, "the engine's answer to %s was cut off", path)
	}
	switch {
	case response.StatusCode == http.StatusOK:
		return raw, nil
	case response.StatusCode == http.StatusNotFound:
		return nil, failure.New(failure.NotFound, remedyEngine, "the engine does not hold %s", path)
	}
	return nil, failure.New(failure.Refused, remedyEngine, "the engine refused %s with status %d: %.200s", path, response.StatusCode, raw)
}
