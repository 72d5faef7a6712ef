package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/zeromicro/go-zero/rest/httpc"

	"plantainrelay/internal/failure"
	"plantainrelay/internal/member"
	"plantainrelay/internal/weights"
)

const (
	maxResponseBytes = 16 << 20
	remedyPlatform   = "check the platform's service and the platform section of the settings"
)

// Client calls the platform over HTTP. It implements ObjectStore, Origin and
// InstanceList.
type Client struct {
	storeURL  string
	originURL string
	listURL   string
}

// Config holds the platform's base URLs.
type Config struct {
	StoreURL  string
	OriginURL string
	ListURL   string
}

// New returns a client for the platform at the given URLs.
func New(config Config) *Client {
	return &Client{storeURL: config.StoreURL, originURL: config.OriginURL, listURL: config.ListURL}
}

// Get implements ObjectStore.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	var object Object
	err := c.getJSON(ctx, c.objectURL(kind, name), &object)
	return object, err
}

// List implements ObjectStore.
func (c *Client) List(ctx context.Context, kind string) ([]Object, error) {
	var objects []Object
	err := c.getJSON(ctx, c.storeURL+"/objects/"+url.PathEscape(kind), &objects)
	return objects, err
}

// Watch implements ObjectStore.
func (c *Client) Watch(ctx context.Context, kind string, after int64, wait time.Duration) ([]Object, error) {
	query := url.Values{
		"after":   {strconv.FormatInt(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var objects []Object
	err := c.getJSON(ctx, c.storeURL+"/watch/"+url.PathEscape(kind)+"?"+query.Encode(), &objects)
	return objects, err
}

// Put implements ObjectStore.
func (c *Client) Put(ctx context.Context, kind, name string, value json.RawMessage, expected int64) (Object, error) {
	address := c.objectURL(kind, name) + "?expected=" + strconv.FormatInt(expected, 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, address, bytes.NewReader(value))
	if err != nil {
		return Object{}, failure.Wrap(err, failure.Invalid, remedyPlatform, "the store's URL is not valid")
	}
	// Without GetBody the HTTP client cannot retry the write on its own.
	request.GetBody = nil
	response, err := httpc.DoRequest(request)
	if err != nil {
		return Object{}, putError(err)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return Object{}, failure.Wrap(err, failure.Unknown, "read the object back", "the store's response to a write was lost")
	}
	return decodePutResponse(response.StatusCode, raw, kind, name)
}

func decodePutResponse(status int, raw []byte, kind, name string) (Object, error) {
	var object Object
	switch {
	case status == http.StatusOK:
		err := json.Unmarshal(raw, &object)
		return object, failure.Wrap(err, failure.Unknown, "read the object back", "the store's response to a write is not valid JSON")
	case status == http.StatusConflict:
		return object, failure.New(failure.Conflict, "read it again and repeat the edit", "%s/%s was changed by another write", kind, name)
	case status == http.StatusTooManyRequests:
		return object, failure.New(failure.NotReachable, "write less often", "the store refused a write: too many calls")
	case status >= http.StatusInternalServerError:
		return object, failure.New(failure.Unknown, "read the object back", "the store failed with status %d on a write", status)
	}
	return object, failure.New(failure.Refused, remedyPlatform, "the store refused a write with status %d", status)
}

// putError distinguishes a write that was never sent, because the connection
// failed, from one that may have taken effect.
func putError(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return failure.Wrap(err, failure.NotReachable, remedyPlatform, "the store cannot be reached")
	}
	return failure.Wrap(err, failure.Unknown, "read the object back", "the store did not respond to a write")
}

// Instances implements InstanceList.
func (c *Client) Instances(ctx context.Context) (member.List, error) {
	var list member.List
	err := c.getJSON(ctx, c.listURL+"/instances", &list)
	return list, err
}

// Manifest implements Origin.
func (c *Client) Manifest(ctx context.Context, digest weights.Digest) ([]byte, error) {
	body, err := c.get(ctx, c.originURL+"/manifests/"+string(digest))
	if err != nil {
		return nil, err
	}
	defer body.Close()
	raw, err := io.ReadAll(io.LimitReader(body, weights.MaxManifestBytes+1))
	return raw, failure.Wrap(err, failure.NotReachable, remedyPlatform, "the manifest response was interrupted")
}

// Chunk implements Origin.
func (c *Client) Chunk(ctx context.Context, digest weights.Digest) (io.ReadCloser, error) {
	return c.get(ctx, c.originURL+"/chunks/"+string(digest))
}

func (c *Client) objectURL(kind, name string) string {
	return fmt.Sprintf("%s/objects/%s/%s", c.storeURL, url.PathEscape(kind), url.PathEscape(name))
}

func (c *Client) get(ctx context.Context, address string) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, failure.Wrap(err, failure.Invalid, remedyPlatform, "the platform's URL is not valid")
	}
	response, err := httpc.DoRequest(request)
	if err != nil {
		return nil, failure.Wrap(err, failure.NotReachable, remedyPlatform, "the platform cannot be reached")
	}
	if response.StatusCode == http.StatusOK {
		return response.Body, nil
	}
	response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		return nil, failure.New(failure.NotFound, "check the name", "%s does not exist", request.URL.Path)
	}
	return nil, failure.New(failure.NotReachable, remedyPlatform, "the platform returned status %d", response.StatusCode)
}

func (c *Client) getJSON(ctx context.Context, address string, into any) error {
	body, err := c.get(ctx, address)
	if err != nil {
		return err
	}
	defer body.Close()
	err = json.NewDecoder(io.LimitReader(body, maxResponseBytes)).Decode(into)
	return failure.Wrap(err, failure.NotReachable, remedyPlatform, "the platform's response is not valid JSON")
}
