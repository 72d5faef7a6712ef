package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"plantainrelay/platform/standin"
)

// rawClient sends requests whose target is not changed by an HTTP library.
type rawClient struct{ timeout time.Duration }

func newRawClient() rawClient { return rawClient{timeout: 5 * time.Second} }

func (c rawClient) call(f *fleet, p *process, method, target, body string, request standin.CallerRequest) answer {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", p.ip, standin.PortFront), time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(c.timeout))
	header := http.Header{}
	request.APIKey = apiKey
	request.SetHeaders(header)
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", method, target, callHost, len(body))
	_ = header.Write(&head)
	if _, err := io.WriteString(conn, head.String()+"\r\n"+body); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: raw, err: err}
}
