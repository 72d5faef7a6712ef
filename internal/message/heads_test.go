package message_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/message"
	"plantainrelay/test/rawserver"
)

func response(lines int, body string) string {
	var text strings.Builder
	text.WriteString("HTTP/1.1 200 OK\r\n")
	for i := range lines {
		fmt.Fprintf(&text, "x%d:\r\n", i)
	}
	fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return text.String()
}

// TestHeadsAreBoundedByWhatTheyHold guards against responses whose heads take many times their
// bytes because they have many short lines, also as the second response on a connection and
// after interim ones; and against limits that count the lines of bodies.
func TestHeadsAreBoundedByWhatTheyHold(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n"
	few, many := 50, message.MaxHeadMemory/100
	body := strings.Repeat("a:\r\n", 10_000)
	for name, test := range map[string]struct {
		responses []string
		fails     bool
	}{
		"few lines":                  {[]string{response(few, "ok")}, false},
		"many lines":                 {[]string{response(many, "ok")}, true},
		"a long line":                {[]string{"HTTP/1.1 200 OK\r\nx: " + strings.Repeat("x", message.MaxHeadMemory) + "\r\n\r\n"}, true},
		"many lines, second":         {[]string{response(few, "ok"), response(many, "ok")}, true},
		"interim heads":              {[]string{strings.Repeat(interim, 4) + response(few, "ok")}, false},
		"interim heads, many lines":  {[]string{interim + response(many, "ok")}, true},
		"many lines in an interim":   {[]string{strings.Replace(response(many, ""), "200 OK", "103 X", 1) + response(0, "ok")}, true},
		"lines of a body":            {[]string{response(few, body), response(few, body)}, false},
		"a body before another head": {[]string{response(few, body+"\r\n\r\n"), response(few, "ok")}, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server := rawserver.Start(t, test.responses...)
			client := &http.Client{Transport: message.NewTransport(&net.Dialer{})}
			defer client.CloseIdleConnections()
			for i := range test.responses {
				got, err := client.Post("http://"+server.Address(), "text/plain", strings.NewReader("call"))
				if err == nil {
					_, err = io.Copy(io.Discard, got.Body)
					got.Body.Close()
				}
				isLast := i == len(test.responses)-1
				c.Assert(err != nil, qt.Equals, test.fails && isLast, qt.Commentf("response %d: %v", i, err))
			}
			c.Check(server.Connections(), qt.Equals, 1)
		})
	}
}

// dialPipe returns a dial function whose connections are served by serve.
func dialPipe(serve func(net.Conn)) message.Dial {
	return func(context.Context, string, string) (net.Conn, error) {
		ours, theirs := net.Pipe()
		go serve(theirs)
		return ours, nil
	}
}

// newTransportOver returns a transport that connects with dial.
func newTransportOver(dial message.Dial) *message.Transport {
	transport := message.NewTransport(&net.Dialer{})
	transport.WrapDial(func(message.Dial) message.Dial { return dial })
	return transport
}

// newTrustingTransport returns a transport that trusts the certificate of the server.
func newTrustingTransport(server *httptest.Server) *message.Transport {
	trusted := x509.NewCertPool()
	trusted.AddCert(server.Certificate())
	transport := message.NewTransport(&net.Dialer{})
	transport.TLSClientConfig = &tls.Config{RootCAs: trusted}
	return transport
}

// respondEarly reads the beginning of a request, and sends the text in small parts; it reads a
// part of the rest of the request after each.
func respondEarly(conn net.Conn, text string) {
	buffer := make([]byte, 512)
	for sent := 0; sent < len(text); sent += 1000 {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
		if _, err := io.WriteString(conn, text[sent:min(sent+1000, len(text))]); err != nil {
			return
		}
	}
	// Reads on until the other side closes the connection.
	_, _ = io.Copy(io.Discard, conn)
}

// TestEarlyResponseIsNotTakenForAHead guards against a body that is counted as a head because
// the rest of the request is sent after the head of its response has arrived, on connections
// that are kept, and on those that are not.
func TestEarlyResponseIsNotTakenForAHead(t *testing.T) {
	body := strings.Repeat("a:\r\n", 10_000)
	for _, isKept := range []bool{true, false} {
		t.Run(fmt.Sprintf("kept %t", isKept), func(t *testing.T) {
			c := qt.New(t)
			transport := newTransportOver(dialPipe(func(conn net.Conn) { respondEarly(conn, response(1, body)) }))
			transport.DisableKeepAlives = !isKept
			defer transport.CloseIdleConnections()
			client := &http.Client{Transport: transport}
			got, err := client.Post("http://server/", "text/plain", bytes.NewReader(make([]byte, 1<<20)))
			c.Assert(err, qt.IsNil)
			defer got.Body.Close()
			received, err := io.ReadAll(got.Body)
			c.Assert(err, qt.IsNil)
			c.Assert(string(received) == body, qt.IsTrue, qt.Commentf("%d bytes", len(received)))
		})
	}
}

// TestBodiesOverTLSAreNotTakenForHeads guards against limits that count the bytes of TLS, in
// which a head has no visible end.
func TestBodiesOverTLSAreNotTakenForHeads(t *testing.T) {
	c := qt.New(t)
	body := strings.Repeat("a:\r\n", 250_000)
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/many" {
			for i := range message.MaxHeadMemory / 100 {
				w.Header().Set(fmt.Sprintf("X%d", i), "")
			}
		}
		_, _ = io.WriteString(w, body)
	}))
	defer server.Close()
	client := &http.Client{Transport: newTrustingTransport(server)}
	defer client.CloseIdleConnections()
	for range 10 {
		got, err := client.Get(server.URL)
		c.Assert(err, qt.IsNil)
		received, err := io.ReadAll(got.Body)
		got.Body.Close()
		c.Assert(err, qt.IsNil)
		c.Assert(len(received), qt.Equals, len(body))
	}
	_, err := client.Get(server.URL + "/many")
	c.Assert(err, qt.ErrorMatches, ".*too many bytes or lines.*")
	_, err = client.Get(strings.Replace(server.URL, "127.0.0.1", "localhost", 1))
	c.Assert(err, qt.ErrorMatches, ".*not localhost.*")
}
