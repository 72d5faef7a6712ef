package message_test

import (
	"bufio"
	"bytes"
	"encoding/gob"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/net/http/httpguts"

	"plantainrelay/internal/burn"
	"plantainrelay/internal/member"
	"plantainrelay/internal/message"
	"plantainrelay/internal/swarm"
	"plantainrelay/internal/table"
	"plantainrelay/internal/tracker"
	"plantainrelay/internal/weights"
)

// newMessages creates empty values of the messages that processes of the fleet send to
// each other.
var newMessages = []func() any{
	func() any { return &message.PeerSummary{} },
	func() any { return &message.TablesFetchArgs{} },
	func() any { return &message.TablesFetchReply{} },
	func() any { return &message.SurveyArgs{} },
	func() any { return &message.SurveyReply{} },
	func() any { return &message.StateReply{} },
	func() any { return &message.AttemptStatusArgs{} },
	func() any { return &message.AttemptStatusReply{} },
	func() any { return &message.AnnounceArgs{} },
	func() any { return &message.AnnounceReply{} },
	func() any { return &message.WeightsExchangeArgs{} },
	func() any { return &message.WeightsExchangeReply{} },
	func() any { return &message.ManifestArgs{} },
	func() any { return &message.ManifestReply{} },
	func() any { return &message.OwnersArgs{} },
	func() any { return &message.OwnersReply{} },
	func() any { return &message.KeyStatusArgs{} },
	func() any { return &message.KeyStatusReply{} },
	func() any { return &message.StateArgs{} },
	func() any { return &message.BurnArgs{} },
	func() any { return &message.BurnReply{} },
	func() any { return &message.LeavingArgs{} },
	func() any { return &message.LeavingReply{} },
}

// FuzzMessages decodes bytes as each message, as net/rpc does with the data of a peer,
// and passes the decoded messages to the code that handles them.
func FuzzMessages(f *testing.F) {
	snapshot := &table.Snapshot{Revision: 7, Tables: table.Tables{Pools: []table.Pool{{Name: "model", Instances: []string{"a-*"}}}}}
	for _, seed := range []any{
		message.TablesFetchReply{Snapshot: snapshot, Parts: []member.Part{{Index: 1, Stamp: 2, Rows: []member.Instance{{Name: "a"}}}}},
		message.AnnounceArgs{Instance: "a", Stage: "waiting_for_permit", Wants: true},
		message.WeightsExchangeArgs{From: "a", Chunks: []int{0, 9, -1}, Turns: []int{1 << 40}, Ask: true},
		message.WeightsExchangeReply{Known: true, Have: weights.Bitmap{0xff}},
		message.AttemptStatusReply{Answer: &message.Answer{Status: 200, Header: map[string][]string{"A": {"b"}}, Body: []byte("x")}},
		message.StateArgs{From: "a", Seen: message.RoutingState{Pool: "model", Open: true}, Hold: time.Second},
		message.BurnArgs{From: "a"},
		message.BurnReply{Report: newReport(f)},
		message.LeavingArgs{Instance: "a"},
	} {
		var raw bytes.Buffer
		if err := gob.NewEncoder(&raw).Encode(seed); err != nil {
			f.Fatal(err)
		}
		f.Add(raw.Bytes())
	}
	f.Fuzz(func(_ *testing.T, raw []byte) {
		for _, empty := range newMessages {
			value := empty()
			if gob.NewDecoder(bytes.NewReader(raw)).Decode(value) != nil {
				continue
			}
			switch decoded := value.(type) {
			case *message.TablesFetchReply:
				exerciseSnapshot(decoded.Snapshot)
				var directory member.ReplicatedList
				directory.Merge(decoded.Parts)
				_, _ = directory.Digest()
				_ = directory.List()
			case *message.TablesFetchArgs:
				_ = (&member.ReplicatedList{}).Newer(decoded.Stamps)
			case *message.AnnounceArgs:
				exerciseAnnounce(decoded)
			case *message.WeightsExchangeArgs:
				newPlan().RecordOffer(decoded.From, decoded.Chunks, decoded.Turns, now)
			case *message.BurnReply:
				exerciseReport(decoded.Report)
			case *message.WeightsExchangeReply:
				_, _ = decoded.Have.Count(), decoded.Have.Has(-1)
				newPlan().RecordAnswer("b", decoded.Have, now)
			}
		}
	})
}

var durationKey = burn.Key{Objective: burn.FirstToken, Customer: "a", Route: "lookup"}

// newReport returns the report of an entry that has counted a request and a duration.
func newReport(f *testing.F) burn.Report {
	aggregator := burn.NewAggregator(burn.Targets{}, 2)
	aggregator.RecordRequest(now, durationKey.Customer, durationKey.Route, true)
	aggregator.RecordDuration(now, durationKey, time.Second)
	report, err := aggregator.Report(now)
	if err != nil {
		f.Fatal(err)
	}
	return report
}

// exerciseReport adds the report to itself, as those of two entries, and reads the sum.
func exerciseReport(report burn.Report) {
	sum, err := burn.Merge(report, report)
	if err != nil {
		return
	}
	for _, line := range sum.Lines {
		_, _ = line.Alert(), line.BudgetLeft()
		if histogram, err := line.DecodeHistogram(); err == nil && histogram != nil {
			burn.DurationAtPercentile(histogram, 99)
		}
	}
}

var now = time.Unix(1000, 0)

// newPlan returns the plan of one of two members that fetches 16 chunks.
func newPlan() *swarm.Plan {
	layout := swarm.NewLayout([]swarm.Member{{Name: "a", AvailabilityZone: "z"}, {Name: "b", AvailabilityZone: "z"}})
	return swarm.New(swarm.Config{Self: "a", MaxInFlight: 2}, layout, 16, nil, now)
}

func exerciseAnnounce(args *message.AnnounceArgs) {
	var list member.List
	t := tracker.New(func() *table.Snapshot { return nil }, func() *member.List { return &list }, func() time.Time { return now })
	_ = t.Announce(*args, &message.AnnounceReply{})
}

func exerciseSnapshot(snapshot *table.Snapshot) {
	var holder table.Holder
	holder.Offer(snapshot)
	if snapshot == nil {
		return
	}
	snapshot.Match(table.RequestAttributes{Customer: "a", Path: "/", Header: func(string) string { return "" }})
	snapshot.PoolOf("a")
	table.Validate(&snapshot.Tables)
}

// FuzzResponses sends bytes as a response. Where the transport of this project takes them for a
// whole response, that of net/http does, too, with the same content, and all names are valid.
func FuzzResponses(f *testing.F) {
	for _, response := range soundResponses() {
		f.Add([]byte(response.raw), response.method == http.MethodHead)
	}
	for _, line := range malformedLines {
		for _, raw := range withMalformedLine(line) {
			f.Add([]byte(raw), false)
		}
	}
	f.Fuzz(func(t *testing.T, raw []byte, isHead bool) {
		respond := func(conn net.Conn) {
			defer conn.Close()
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = conn.Write(raw)
			}
		}
		response, body, err := roundTrip(t, newTransportOver(dialPipe(respond)), isHead)
		if err != nil {
			return
		}
		reference, referenceBody, err := roundTrip(t, &http.Transport{DisableCompression: true, DialContext: dialPipe(respond)}, isHead)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, response.StatusCode, qt.Equals, reference.StatusCode)
		qt.Check(t, response.Header, qt.DeepEquals, reference.Header)
		qt.Check(t, response.Trailer, qt.DeepEquals, reference.Trailer)
		qt.Check(t, body, qt.DeepEquals, referenceBody)
		for _, header := range []http.Header{response.Header, response.Trailer} {
			for name := range header {
				qt.Check(t, httpguts.ValidHeaderFieldName(name), qt.IsTrue, qt.Commentf("%q", name))
			}
		}
	})
}

// roundTrip sends a request on a new connection and reads the whole response.
func roundTrip(t *testing.T, transport http.RoundTripper, isHead bool) (*http.Response, []byte, error) {
	method := http.MethodGet
	if isHead {
		method = http.MethodHead
	}
	request, err := http.NewRequestWithContext(t.Context(), method, "http://server/", http.NoBody)
	qt.Assert(t, err, qt.IsNil)
	request.Close = true
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, body, err
}
