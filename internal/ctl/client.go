// Package ctl implements plantainctl, the command-line tool for operators.
package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/zeromicro/go-zero/rest/httpc"

	"plantainrelay/internal/admin"
	"plantainrelay/internal/failure"
)

const (
	callTimeout      = 30 * time.Second
	maxResponseBytes = 16 << 20
)

// client calls the administration API of one entry.
type client struct {
	server    string
	tokenFile string
	tls       tlsFlags
}

func (c *client) token() (string, error) {
	raw, err := os.ReadFile(c.tokenFile)
	if err != nil {
		return "", failure.Wrap(err, failure.Invalid, "set --token-file to the file that holds your token", "the token file cannot be read")
	}
	return strings.TrimSpace(string(raw)), nil
}

// call sends in as JSON, unless it is nil, and decodes the response into out. A
// response with an error status is returned as an error of the kind that it
// names.
func (c *client) call(ctx context.Context, method, path string, in, out any) error {
	token, err := c.token()
	if err != nil {
		return err
	}
	if err := c.tls.configureClient(); err != nil {
		return err
	}
	var body io.Reader = http.NoBody
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return failure.Wrap(err, failure.Internal, "report this", "the request cannot be encoded")
		}
		body = bytes.NewReader(raw)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.server, "/")+path, body)
	if err != nil {
		return failure.Wrap(err, failure.Invalid, "write --server as http://IP:port", "the server address is not valid")
	}
	request.Header.Set("Authorization", "Bearer "+token)
	request.Header.Set("Content-Type", "application/json")
	return send(request, out)
}

func send(request *http.Request, out any) error {
	response, err := httpc.DoRequest(request)
	if err != nil {
		kind := failure.NotReachable
		if request.Method != http.MethodGet {
			kind = failure.Unknown
		}
		return failure.Wrap(err, kind, "try another entry with --server", "the entry did not respond")
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return failure.Wrap(err, failure.Unknown, "try again", "the entry's response was cut off")
	}
	if response.StatusCode == http.StatusOK {
		err := json.Unmarshal(raw, out)
		return failure.Wrap(err, failure.Unknown, "try again", "the entry's response cannot be decoded")
	}
	return responseError(response.StatusCode, raw)
}

func responseError(status int, raw []byte) error {
	var problem admin.Problem
	if err := json.Unmarshal(raw, &problem); err != nil || problem.Kind == "" {
		return failure.New(failure.Refused, "check --server", "the server responded with status %d", status)
	}
	cause := failure.New(problem.Kind, "see above", "%s", problem.Message)
	if problem.Conflict != nil {
		return &conflictError{conflict: *problem.Conflict, cause: cause}
	}
	return cause
}
