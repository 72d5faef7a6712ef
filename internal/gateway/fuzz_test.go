package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"plantainrelay/internal/message"
	"plantainrelay/internal/metering"
	"plantainrelay/internal/table"
)

// staticTables is a TableSource with fixed tables.
type staticTables table.Snapshot

func (f staticTables) Admit(context.Context) (*table.Snapshot, error) {
	snapshot := table.Snapshot(f)
	return &snapshot, nil
}

// FuzzCallerRequests sends arbitrary requests to an entry without agents. Each
// response must say that the request was not run.
func FuzzCallerRequests(f *testing.F) {
	f.Add([]byte("POST /lookup HTTP/1.1\r\nHost: a\r\nX-Plantain-Customer: small\r\nContent-Length: 3\r\n\r\nabc"))
	f.Add([]byte("GET /a%2f..//%00?x=%zz HTTP/1.1\r\nHost: a\r\nX-Plantain-Customer: \x7f\r\n\r\n"))
	f.Add([]byte("POST /book HTTP/1.1\r\nHost: a\r\nX-Plantain-Customer: a\r\nX-Plantain-Key: \xff\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n"))
	f.Add([]byte("POST /book HTTP/1.1\r\nHost: a\r\nX-Plantain-Customer: a\r\nIdempotency-Key: 01890a5d-ac96-774b-bcce-b302099a8057\r\nX-Plantain-Key-Issued: -1\r\n\r\n"))
	log := logrus.New()
	log.SetOutput(io.Discard)
	entry := logrus.NewEntry(log)
	tables := staticTables(table.Snapshot{Revision: 1, Tables: table.Tables{
		Pools:  []table.Pool{{Name: "model", Kind: table.KindService, Instances: []string{"a"}}},
		Routes: []table.Route{{Name: "all", Customer: table.AnyCustomer, Path: "/", Pool: "model", Repeatable: true, Priority: table.PriorityNormal, Deadline: time.Minute}},
	}})
	states := NewAgentStates(nil, nil, "entry-1", time.Second)
	handler := NewHandler(Config{
		Identifier:   HeaderIdentifier{},
		Usage:        metering.Discard{},
		MaxBodyBytes: 1 << 10,
		MaxAttempts:  1,
		MaxWait:      0,
	}, tables, states, nil, NewAdmission(states, 0, 0), nil, entry)
	f.Fuzz(func(t *testing.T, raw []byte) {
		request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw)))
		if err != nil {
			return
		}
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, request)
		if outcome := answer.Header().Get(message.HeaderOutcome); outcome != "not_run" {
			t.Fatalf("status %d, outcome %q", answer.Code, outcome)
		}
	})
}
