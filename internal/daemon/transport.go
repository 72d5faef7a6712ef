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

// BoundDefaultTransport bounds the transport that httpc.DoRequest uses. A
// server that has not begun its answer after headerLimit is given up; callers
// set shorter deadlines by their contexts.
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
