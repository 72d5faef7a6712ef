package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"plantainrelay/internal/gateway"
	"plantainrelay/internal/message"
	"plantainrelay/test/checker"
	"plantainrelay/test/cluster"
	"plantainrelay/test/standin"
)

const (
	customers      = 10
	largeCustomers = 3
	largeRate      = 9.0
	smallRate      = 2.0
	// maxOutstanding bounds the requests in progress. Arrivals above it are
	// dropped and counted.
	maxOutstanding = 4000
	callTimeout    = 25 * time.Second
	addressTimeout = 2 * time.Second
	maxKeyCalls    = 6
	maxRetryPause  = 2 * time.Second
	longTokens     = 500
)

// callers generates the open-loop load of all customers.
type callers struct {
	firm    Firm
	cluster *cluster.Cluster
	network upstreams
	http    *http.Client
	rate    float64

	mu      sync.Mutex
	entries map[string]string
	calls   []checker.Call
	dropped int
	slots   chan struct{}
	group   sync.WaitGroup
}

// upstreams looks up the listener behind a proxy's address.
type upstreams interface {
	Upstream(address string) string
}

func newCallers(firm Firm, fleet *cluster.Cluster, network upstreams, rate float64) *callers {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	return &callers{
		firm: firm, cluster: fleet, network: network, rate: rate,
		http:    &http.Client{Transport: transport, Timeout: callTimeout},
		entries: map[string]string{},
		slots:   make(chan struct{}, maxOutstanding),
	}
}

// run sends requests until ctx ends, then waits for those in progress.
func (c *callers) run(ctx context.Context, seed uint64) {
	var arrivals sync.WaitGroup
	for number := range customers {
		rate := smallRate
		if number < largeCustomers {
			rate = largeRate
		}
		arrivals.Add(1)
		go func() {
			defer arrivals.Done()
			c.customer(ctx, number, rate*c.rate, rand.New(rand.NewPCG(seed, uint64(number))))
		}()
	}
	arrivals.Wait()
	c.group.Wait()
}

// customer sends the requests of one customer at random intervals, without
// waiting for earlier responses.
func (c *callers) customer(ctx context.Context, number int, rate float64, random *rand.Rand) {
	addresses := &addressBook{callers: c, zone: c.firm.Zones[number%len(c.firm.Zones)]}
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(random.ExpFloat64() / rate * float64(time.Second))):
		}
		call := c.draw(number, random)
		select {
		case c.slots <- struct{}{}:
		default:
			c.mu.Lock()
			c.dropped++
			c.mu.Unlock()
			continue
		}
		c.group.Add(1)
		go func() {
			defer c.group.Done()
			defer func() { <-c.slots }()
			c.request(call, addresses)
		}()
	}
}

// planned holds the properties of one request, which may take several calls.
type planned struct {
	customer, path, body, key string
	model, stream             bool
	tokens                    int
}

func (c *callers) draw(number int, random *rand.Rand) planned {
	p := planned{customer: fmt.Sprintf("customer-%d", number+1), body: uuid.NewString(), tokens: 4 + random.IntN(12)}
	switch dice := random.Float64(); {
	case dice < 0.2:
		p.path, p.key = c.firm.LedgerName, uuid.Must(uuid.NewV7()).String()
	case dice < 0.3:
		p.path = c.firm.RecordName
	default:
		p.path, p.model = c.firm.ModelName, true
		p.stream = random.Float64() < 0.4
	}
	if p.stream && random.Float64() < 0.3 {
		p.tokens = longTokens
	}
	return p
}

// request makes the calls of one request. A request with an idempotency key is
// retried through another entry until it is done, at most maxKeyCalls times;
// others are sent once.
func (c *callers) request(p planned, addresses *addressBook) {
	avoid := ""
	for attempt := range maxKeyCalls {
		entry, address, err := addresses.get(avoid)
		if err != nil {
			time.Sleep(retryPause(attempt))
			continue
		}
		call := c.call(p, entry, address)
		if call.Outcome == checker.Done || p.key == "" {
			return
		}
		avoid = entry
		addresses.forget()
		time.Sleep(retryPause(attempt))
	}
}

func retryPause(attempt int) time.Duration {
	return min(maxRetryPause, 200*time.Millisecond<<attempt)
}

func (c *callers) call(p planned, entry, address string) checker.Call {
	call := checker.Call{
		ID: uuid.NewString(), Customer: p.customer, Body: p.body, Key: p.key, Model: p.model,
		Stream: p.stream, Tokens: p.tokens, Entry: entry, Sent: time.Now(),
	}
	c.exchange(&call, p, address)
	call.Ended = time.Now()
	c.mu.Lock()
	c.calls = append(c.calls, call)
	c.mu.Unlock()
	return call
}

func (c *callers) exchange(call *checker.Call, p planned, address string) {
	url := fmt.Sprintf("http://%s/%s?tokens=%d", address, p.path, p.tokens)
	if p.stream {
		url += "&stream"
	}
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte(p.body)))
	if err != nil {
		call.Outcome, call.Detail = checker.Broken, err.Error()
		return
	}
	request.GetBody = nil
	request.Header.Set(message.HeaderCustomer, p.customer)
	request.Header.Set(standin.HeaderCall, call.ID)
	if p.key != "" {
		request.Header.Set(message.HeaderKey, p.key)
	}
	response, err := c.http.Do(request)
	if err != nil {
		call.Outcome, call.Detail = checker.Broken, err.Error()
		return
	}
	defer response.Body.Close()
	call.Version = response.Header.Get(message.HeaderVersion)
	call.Answer, err = io.ReadAll(response.Body)
	if err != nil {
		call.Outcome, call.Detail = checker.Broken, err.Error()
		return
	}
	call.Outcome = checker.Outcome(response.Header.Get(message.HeaderOutcome))
	if call.Outcome != checker.Done {
		call.Detail = fmt.Sprintf("status %d: %.200s", response.StatusCode, call.Answer)
	}
	if call.Outcome == "" {
		call.Outcome = checker.Unknown
	}
}

// addressBook caches the response to a customer's address query while it is
// valid.
type addressBook struct {
	callers *callers
	zone    string

	mu      sync.Mutex
	entry   string
	address string
	until   time.Time
}

func (b *addressBook) forget() {
	b.mu.Lock()
	b.until = time.Time{}
	b.mu.Unlock()
}

// get returns an entry and its address. It prefers an entry other than avoid.
func (b *addressBook) get(avoid string) (string, string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Now().Before(b.until) && b.entry != avoid {
		return b.entry, b.address, nil
	}
	known := b.callers.known()
	rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	var last error
	for _, asked := range known {
		answer, err := b.callers.ask(asked.address, b.zone)
		if err != nil {
			last = err
			continue
		}
		for _, address := range []string{answer.Address, answer.Alternate} {
			entry, reached, found := b.callers.resolve(address)
			if found && (entry != avoid || address == answer.Alternate) {
				b.entry, b.address = entry, reached
				b.until = time.Now().Add(time.Duration(answer.ValidSeconds) * time.Second)
				return entry, reached, nil
			}
		}
	}
	return "", "", fmt.Errorf("no entry returned a usable address: %w", last)
}

func (c *callers) ask(address, zone string) (gateway.AddressAnswer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), addressTimeout)
	defer cancel()
	var answer gateway.AddressAnswer
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/plantain/v1/address?availability_zone="+zone, nil)
	if err != nil {
		return answer, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return answer, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("status %d", response.StatusCode)
	}
	return answer, json.NewDecoder(response.Body).Decode(&answer)
}

// reachable is an entry with the address at which the load generator reaches it.
type reachable struct {
	entry, address string
}

// learn adds an entry to those that address queries are sent to.
func (c *callers) learn(entry string) error {
	if _, err := c.cluster.ClientAddress(entry); err != nil {
		return err
	}
	c.mu.Lock()
	c.entries[c.cluster.Row(entry).HTTPAddress] = entry
	c.mu.Unlock()
	return nil
}

// unlearn removes an entry that has stopped, so that it gets no more address
// queries.
func (c *callers) unlearn(entry string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, name := range c.entries {
		if name == entry {
			delete(c.entries, address)
		}
	}
}

func (c *callers) known() []reachable {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []reachable
	for _, entry := range c.entries {
		if address, err := c.cluster.ClientAddress(entry); err == nil {
			all = append(all, reachable{entry: entry, address: address})
		}
	}
	return all
}

// resolve maps an address returned by an entry, which is valid in that entry's
// zone, to the entry's name and the address for callers.
func (c *callers) resolve(address string) (string, string, bool) {
	if address == "" {
		return "", "", false
	}
	c.mu.Lock()
	entry, found := c.entries[c.network.Upstream(address)]
	c.mu.Unlock()
	if !found {
		return "", "", false
	}
	reached, err := c.cluster.ClientAddress(entry)
	return entry, reached, err == nil
}
