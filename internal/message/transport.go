package message

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"
)

// tlsHandshakeTimeout bounds the set-up of TLS on a connection.
const tlsHandshakeTimeout = 5 * time.Second

// Dial connects to an address, as http.Transport does.
type Dial = func(ctx context.Context, network, address string) (net.Conn, error)

// Transport is an http.Transport for responses of servers that may be faulty. A request fails, or
// the body of its response does, when
//   - a head or the trailers take more than MaxHeadMemory, or have a line without a valid name,
//   - net/http would misread the framing of the response,
//   - the response has no length and its connection does not end in order.
//
// All clients of this project use it. The functions of the http.Transport that connect are not to
// be replaced.
type Transport struct {
	*http.Transport
	dial Dial
}

// NewTransport returns a transport that connects with dialer and keeps connections.
func NewTransport(dialer *net.Dialer) *Transport {
	t := &Transport{Transport: &http.Transport{DisableCompression: true, MaxResponseHeaderBytes: MaxHeadMemory}, dial: dialer.DialContext}
	t.DialContext, t.DialTLSContext = t.connect, t.connectTLS
	return t
}

// NewSingleUseTransport is like NewTransport, with a connection of its own for each request.
func NewSingleUseTransport(dialer *net.Dialer) *Transport {
	t := NewTransport(dialer)
	t.DisableKeepAlives = true
	return t
}

// WrapDial replaces the function that connects. It has to be called before the first request.
func (t *Transport) WrapDial(wrap func(Dial) Dial) { t.dial = wrap(t.dial) }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*responseConn); ok {
			conn.expectResponse(request.Method)
		}
	}}
	return t.Transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
}

func (t *Transport) connect(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := t.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &responseConn{Conn: &endConn{Conn: conn}}, nil
}

// connectTLS wraps the connection above TLS: what it examines is not encrypted.
func (t *Transport) connectTLS(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := t.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	secured := tls.Client(&endConn{Conn: conn}, t.tlsConfig(address))
	ctx, cancel := context.WithTimeout(ctx, tlsHandshakeTimeout)
	defer cancel()
	if err := secured.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return &responseConn{Conn: secured}, nil
}

// tlsConfig returns TLSClientConfig with the name of the server at address, if it names none.
func (t *Transport) tlsConfig(address string) *tls.Config {
	config := t.TLSClientConfig.Clone()
	if config == nil {
		config = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	if host, _, err := net.SplitHostPort(address); err == nil && config.ServerName == "" {
		config.ServerName = host
	}
	return config
}
