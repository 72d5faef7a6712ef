package daemon

import (
	"net"
	"net/http"
	"time"
)

const (
	dialTimeout         = 2 * time.Second
	tlsHandshakeTimeout = 5 * time.Second
	maxIdleConnsPerHost = 16
)

// ConfigureDefaultTransport sets limits on the default transport, which
// httpc.DoRequest uses. A request fails when the server has not sent its
// response headers within responseHeaderTimeout; callers set shorter deadlines
// in their contexts.
func ConfigureDefaultTransport(responseHeaderTimeout time.Duration) {
	transport, ok := http.DefaultTransport.(*http.Transport)
	if !ok {
		return
	}
	transport.Proxy = nil
	transport.DialContext = (&net.Dialer{Timeout: dialTimeout}).DialContext
	transport.TLSHandshakeTimeout = tlsHandshakeTimeout
	transport.ResponseHeaderTimeout = responseHeaderTimeout
	transport.MaxIdleConnsPerHost = maxIdleConnsPerHost
}
