package fleet

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"plantainrelay/platform/standin"
	"plantainrelay/test/testfleet"
)

// keys are the API keys that callers use. The first two are never revoked.
var keys = []string{"key-1", "key-2", "key-3", "key-4", "key-5", "key-6"}

const (
	host = "service.example"
	// addressCacheTime is how long callers cache the addresses of entries.
	addressCacheTime = 2 * time.Second
	// thinkTime is the pause of a caller between a response and the next request.
	thinkTime   = 40 * time.Millisecond
	callTimeout = 3 * time.Second
	// longStreamTimeout is the time limit of a long stream, longStreamShare the share of
	// them among all streams.
	longStreamTimeout = 6 * time.Second
	longStreamShare   = 0.12
	minLongEvents     = 120
	maxLongEvents     = 360
	addressTimeout    = time.Second
	maxRetryDelay     = 2 * time.Second
	maxEvents         = 25
	maxReasonBytes    = 1 << 10
)

// habit is how a caller uses addresses and connections.
type habit int

const (
	// keptConnections uses the same entry until a request to it fails without a response.
	keptConnections habit = iota
	// newConnections opens a connection for each request.
	newConnections
	// oldAddresses caches the addresses for three times as long.
	oldAddresses
	// anyAddress uses a random address of a recent list for each request, on open connections
	// where there are any.
	anyAddress
)

// loadGenerator sends requests as the platform's clients do.
type loadGenerator struct {
	soak     *run
	requests atomic.Int64
}

func newLoadGenerator(r *run) *loadGenerator { return &loadGenerator{soak: r} }

// run sends the requests of all callers until ctx ends.
func (c *loadGenerator) run(ctx context.Context) {
	var group sync.WaitGroup
	for number := range c.soak.config.Callers {
		group.Go(func() { c.newCaller(number + 1).run(ctx) })
	}
	group.Wait()
}

// waitUntilServed waits until one request of each kind has been served.
func (c *loadGenerator) waitUntilServed(ctx context.Context) error {
	client := c.newCaller(0)
	until := time.Now().Add(startTimeout)
	for _, kind := range []standin.RouteKind{standin.Streaming, standin.NonIdempotent, standin.Idempotent} {
		for call := client.send(ctx, kind, "key-1"); call.Outcome != Complete; call = client.send(ctx, kind, "key-1") {
			if time.Now().After(until) {
				return fmt.Errorf("no request of kind %s was served within %s: last outcome %s %s", kind, startTimeout, call.Outcome, call.Detail)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// caller is one client with its own persistent connections.
type caller struct {
	*loadGenerator
	random         *rand.Rand
	client         *http.Client
	habit          habit
	longShare      float64
	entryAddresses []string
	queriedAt      time.Time
	// kept is the address of the entry that a caller with keptConnections uses.
	kept string
}

func (c *loadGenerator) newCaller(number int) *caller {
	return &caller{
		loadGenerator: c, random: rand.New(rand.NewPCG(c.soak.config.Seed, uint64(100+number))), habit: habit(number) % (anyAddress + 1), longShare: longStreamShare,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}},
	}
}

func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	kinds := []standin.RouteKind{standin.Streaming, standin.Streaming, standin.NonIdempotent, standin.Idempotent}
	for ctx.Err() == nil {
		call := c.send(ctx, kinds[c.random.IntN(len(kinds))], keys[c.random.IntN(len(keys))])
		if call.Outcome == Refused && call.CrashingPart == "" {
			time.Sleep(min(call.RetryAfter, maxRetryDelay))
		}
		time.Sleep(thinkTime)
	}
}

// entryAddress returns the address of the entry for the next request.
func (c *caller) entryAddress() string {
	if c.kept == "" || c.habit != keptConnections {
		c.kept = c.randomAddress()
	}
	return c.kept
}

// randomAddress returns the address of a random entry, from the cache or from an address
// query to up to three entries.
func (c *caller) randomAddress() string {
	cacheTime := addressCacheTime
	if c.habit == oldAddresses {
		cacheTime = 3 * addressCacheTime
	}
	if time.Since(c.queriedAt) < cacheTime && len(c.entryAddresses) > 0 {
		return c.entryAddresses[c.random.IntN(len(c.entryAddresses))]
	}
	entries := c.soak.entries()
	c.random.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	for _, entry := range entries[:min(3, len(entries))] {
		if addresses := c.queryAddresses(entry); len(addresses) > 0 {
			c.entryAddresses, c.queriedAt = addresses, time.Now()
			break
		}
	}
	if len(c.entryAddresses) == 0 {
		return ""
	}
	return c.entryAddresses[c.random.IntN(len(c.entryAddresses))]
}

func (c *caller) queryAddresses(entry *testfleet.Instance) []string {
	address, err := c.soak.Network.Address(testfleet.NetCallers, entry.Name, fmt.Sprintf("%s:%d", entry.IP, standin.PortDirectory))
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), addressTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+standin.AddressPath, nil)
	if err != nil {
		return nil
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var answer standin.Addresses
	if json.NewDecoder(response.Body).Decode(&answer) != nil {
		return nil
	}
	return answer.Addresses
}

// send sends one request and records the result.
func (c *caller) send(ctx context.Context, kind standin.RouteKind, key string) Call {
	number := c.requests.Add(1)
	call := Call{
		Attempt: fmt.Sprintf("%d-%d", c.soak.config.Seed, number), Kind: kind, Key: key, Sent: time.Now(), Outcome: Failed,
		Method: http.MethodPost, Body: fmt.Sprintf("request %d", number), TimeLeft: callTimeout,
	}
	switch kind {
	case standin.Streaming:
		call.URI, call.EventsRequested = fmt.Sprintf("/write/%d?x=%%20", number), 1+c.random.IntN(maxEvents)
		if c.random.Float64() < c.longShare {
			call.EventsRequested, call.TimeLeft = minLongEvents+c.random.IntN(maxLongEvents-minLongEvents), longStreamTimeout
		}
		call.Parts, call.CrashingPart = c.promptParts(number)
	case standin.NonIdempotent:
		call.URI = fmt.Sprintf("/book/%d//a%%2Fb", number)
	default:
		call.Method, call.Body, call.URI = http.MethodGet, "", fmt.Sprintf("/look/%d", number)
	}
	address := c.entryAddress()
	if address != "" {
		call.Sent = time.Now()
		c.doCall(ctx, address, &call)
	} else {
		call.Detail = "no entry returned an address"
	}
	call.Ended = time.Now()
	if call.Outcome == Failed && call.Status == 0 {
		c.kept = ""
		c.entryAddresses = slices.DeleteFunc(c.entryAddresses, func(failed string) bool { return failed == address })
	}
	if c.habit == newConnections {
		c.client.CloseIdleConnections()
	}
	c.soak.history.addCall(call)
	return call
}

func (c *caller) doCall(ctx context.Context, entryAddress string, call *Call) {
	entry := c.soak.entryByAddress(entryAddress)
	call.Entry = entry.Name
	address, err := c.soak.Network.Address(testfleet.NetCallers, entry.Name, entryAddress)
	if err != nil {
		call.Detail = err.Error()
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), call.TimeLeft)
	defer cancel()
	var sent transmission
	ctx = httptrace.WithClientTrace(ctx, sent.trace(cancel))
	if err := c.exchange(ctx, "http://"+address, call); err != nil {
		call.Detail = err.Error()
		call.Lost = sent.isLost(ctx)
	}
	call.Written, call.Kept = sent.state()
}

// exchange sends the request and reads the response. It returns an error if there was no
// complete response.
func (c *caller) exchange(ctx context.Context, base string, call *Call) error {
	request, err := http.NewRequestWithContext(ctx, call.Method, base+call.URI, strings.NewReader(call.Body))
	if err != nil {
		return err
	}
	request.Host = host
	// With GetBody, the client would resend a request by itself on a new connection.
	request.GetBody = nil
	standin.CallerRequest{AttemptID: call.Attempt, APIKey: call.Key, Events: call.EventsRequested, TimeLeft: call.TimeLeft, Parts: call.Parts}.SetHeaders(request.Header)
	response, err := c.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	call.Status = response.StatusCode
	return c.readResponse(response, call)
}

// transmission is what a caller sees of a request's connection.
type transmission struct {
	mu      sync.Mutex
	written time.Time
	kept    bool
	// resent says that the client began to send the request on another connection after the
	// first one had ended without a response.
	resent bool
}

// trace returns the hooks that record the transmission. They cancel a request that the
// client would send again by itself.
func (t *transmission) trace(cancel func()) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			t.mu.Lock()
			defer t.mu.Unlock()
			if !t.written.IsZero() {
				t.resent = true
				cancel()
				return
			}
			t.kept = info.Reused
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			t.mu.Lock()
			defer t.mu.Unlock()
			if info.Err == nil && t.written.IsZero() {
				t.written = time.Now()
			}
		},
	}
}

// isLost reports whether the other side has ended the connection after the request was sent.
func (t *transmission) isLost(ctx context.Context) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.resent || !t.written.IsZero() && ctx.Err() == nil
}

func (t *transmission) state() (written time.Time, kept bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.written, t.kept
}

// readResponse reads the response and sets the outcome. It returns an error if the response
// ends early.
func (c *caller) readResponse(response *http.Response, call *Call) error {
	switch {
	case slices.Contains(refusals, response.StatusCode):
		call.Outcome = Refused
		if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
			call.RetryAfter = time.Duration(seconds * float64(time.Second))
		}
		// An error leaves the reason out.
		reason, _ := io.ReadAll(io.LimitReader(response.Body, maxReasonBytes))
		call.Detail = string(reason)
		return nil
	case response.StatusCode/100 != 2:
		return nil
	}
	call.Sealed = standin.HasValidSeal(response.Header, call.Attempt)
	if call.Kind == standin.Streaming {
		return readEvents(bufio.NewReader(response.Body), call)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	call.Outcome, call.Correct = Complete, string(body) == standin.ResponseBody(call.Attempt)
	return nil
}

// readEvents reads a stream of events.
func readEvents(reader *bufio.Reader, call *Call) error {
	call.Correct = true
	for {
		var event strings.Builder
		for !strings.HasSuffix(event.String(), "\n\n") {
			line, err := reader.ReadString('\n')
			event.WriteString(line)
			if err == io.EOF && event.Len() == 0 {
				call.Outcome = Complete
				return nil
			}
			if err != nil {
				return err
			}
		}
		call.EventsReceived++
		call.Correct = call.Correct && event.String() == standin.StreamEvent(call.Body, call.EventsReceived)
	}
}

// entries returns the instances that run an entry.
func (r *run) entries() []*testfleet.Instance {
	return slices.DeleteFunc(r.Instances(), func(instance *testfleet.Instance) bool { return instance.Pool != "" })
}

// entryByAddress returns the entry that serves requests at an address.
func (r *run) entryByAddress(address string) *testfleet.Instance {
	for _, instance := range r.entries() {
		if strings.HasPrefix(address, instance.IP+":") {
			return instance
		}
	}
	return &testfleet.Instance{Name: "unknown " + address}
}
