package daemon

import (
	"net"
	"net/http"
	"time"
)

const (
	dialLimit          = 2 * time.Second
	tlsHandshakeLimit  = 5 * time.Second
	idleConnsPerServer = 16
)

// BoundDefaultTransport sets limits on the default transport, which
// httpc.DoRequest uses. A request fails when the server has not sent its response
// headers within headerLimit; callers set shorter deadlines in their contexts.
func BoundDefaultTransport(headerLimit time.Duration) {
	transport, ok := http.DefaultTransport.(*http.Transport)
	if !ok {
		return
	}
	transport.Proxy = nil
	transport.DialContext = (&net.Dialer{Timeout: dialLimit}).DialContext
	transport.TLSHandshakeTimeout = tlsHandshakeLimit
	transport.ResponseHeaderTimeout = headerLimit
	transport.MaxIdleConnsPerHost = idleConnsPerServer
}
