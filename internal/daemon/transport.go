package daemon

import (
	"net"
	"net/http"
	"time"

	"plantainrelay/internal/message"
)

const (
	dialTimeout         = 2 * time.Second
	maxIdleConnsPerHost = 16
)

// ConfigureDefaultClient sets the transport and the limits of the default client, which
// httpc.DoRequest uses. A request fails when the server has not sent its
// response headers within responseHeaderTimeout; callers set shorter deadlines
// in their contexts.
func ConfigureDefaultClient(responseHeaderTimeout time.Duration) {
	transport := message.NewTransport(&net.Dialer{Timeout: dialTimeout})
	transport.ResponseHeaderTimeout = responseHeaderTimeout
	transport.MaxIdleConnsPerHost = maxIdleConnsPerHost
	http.DefaultClient.Transport = transport
}
