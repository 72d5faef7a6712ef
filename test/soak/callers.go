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
	customers         = 10
	largeCustomers    = 3
	largeCustomerRate = 9.0
	smallCustomerRate = 2.0
	// maxOutstanding bounds the requests in progress; further ones are dropped and
	// counted.
	maxOutstanding   = 4000
	callTimeout      = 25 * time.Second
	addressTimeout   = 2 * time.Second
	maxCallsPerKey   = 6
	maxRetryBackoff  = 2 * time.Second
	longStreamTokens = 500
)

// loadGenerator generates the open-loop load of all customers.
type loadGenerator struct {
	deployment Deployment
	cluster    *cluster.Cluster
	network    upstreamResolver
	http       *http.Client
	rate       float64

	mu          sync.Mutex
	entries     map[string]string
	calls       []checker.Call
	dropped     int
	outstanding chan struct{}
	inFlight    sync.WaitGroup
}

// upstreamResolver looks up the listener behind a proxy's address.
type upstreamResolver interface {
	Upstream(address string) string
}

func newLoadGenerator(deployment Deployment, fleet *cluster.Cluster, network upstreamResolver, rate float64) *loadGenerator {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	return &loadGenerator{
		deployment: deployment, cluster: fleet, network: network, rate: rate,
		http:        &http.Client{Transport: transport, Timeout: callTimeout},
		entries:     map[string]string{},
		outstanding: make(chan struct{}, maxOutstanding),
	}
}

// run sends requests until ctx ends, then waits for those in progress.
func (c *loadGenerator) run(ctx context.Context, seed uint64) {
	var arrivals sync.WaitGroup
	for number := range customers {
		rate := smallCustomerRate
		if number < largeCustomers {
			rate = largeCustomerRate
		}
		arrivals.Add(1)
		go func() {
			defer arrivals.Done()
			c.customerLoad(ctx, number, rate*c.rate, rand.New(rand.NewPCG(seed, uint64(number))))
		}()
	}
	arrivals.Wait()
	c.inFlight.Wait()
}

// customerLoad sends the requests of one customer at random intervals, without
// waiting for earlier responses.
func (c *loadGenerator) customerLoad(ctx context.Context, number int, rate float64, random *rand.Rand) {
	addresses := &addressCache{load: c, zone: c.deployment.Zones[number%len(c.deployment.Zones)]}
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(random.ExpFloat64() / rate * float64(time.Second))):
		}
		call := c.drawRequest(number, random)
		select {
		case c.outstanding <- struct{}{}:
		default:
			c.mu.Lock()
			c.dropped++
			c.mu.Unlock()
			continue
		}
		c.inFlight.Add(1)
		go func() {
			defer c.inFlight.Done()
			defer func() { <-c.outstanding }()
			c.sendRequest(call, addresses)
		}()
	}
}

// plannedRequest holds the properties of one request, which may take several calls.
type plannedRequest struct {
	customer, path, body, key string
	model, stream             bool
	tokens                    int
}

func (c *loadGenerator) drawRequest(number int, random *rand.Rand) plannedRequest {
	p := plannedRequest{customer: fmt.Sprintf("customer-%d", number+1), body: uuid.NewString(), tokens: 4 + random.IntN(12)}
	switch sample := random.Float64(); {
	case sample < 0.2:
		p.path, p.key = c.deployment.LedgerName, uuid.Must(uuid.NewV7()).String()
	case sample < 0.3:
		p.path = c.deployment.RecordName
	default:
		p.path, p.model = c.deployment.ModelName, true
		p.stream = random.Float64() < 0.4
	}
	if p.stream && random.Float64() < 0.3 {
		p.tokens = longStreamTokens
	}
	return p
}

// sendRequest makes the calls of one request. With an idempotency key, it retries
// through another entry until the request is done, with at most maxCallsPerKey calls;
// otherwise it sends once.
func (c *loadGenerator) sendRequest(p plannedRequest, addresses *addressCache) {
	avoid := ""
	for attempt := range maxCallsPerKey {
		entry, address, err := addresses.get(avoid)
		if err != nil {
			time.Sleep(retryBackoff(attempt))
			continue
		}
		call := c.sendCall(p, entry, address)
		if call.Outcome == checker.Done || p.key == "" {
			return
		}
		avoid = entry
		addresses.invalidate()
		time.Sleep(retryBackoff(attempt))
	}
}

func retryBackoff(attempt int) time.Duration {
	return min(maxRetryBackoff, 200*time.Millisecond<<attempt)
}

func (c *loadGenerator) sendCall(p plannedRequest, entry, address string) checker.Call {
	call := checker.Call{
		ID: uuid.NewString(), Customer: p.customer, Body: p.body, Key: p.key, Model: p.model,
		Stream: p.stream, Tokens: p.tokens, Entry: entry, Sent: time.Now(),
	}
	c.doCall(&call, p, address)
	call.Ended = time.Now()
	c.mu.Lock()
	c.calls = append(c.calls, call)
	c.mu.Unlock()
	return call
}

func (c *loadGenerator) doCall(call *checker.Call, p plannedRequest, address string) {
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

// addressCache caches the response to an address query while it is valid.
type addressCache struct {
	load *loadGenerator
	zone string

	mu         sync.Mutex
	entry      string
	address    string
	validUntil time.Time
}

func (a *addressCache) invalidate() {
	a.mu.Lock()
	a.validUntil = time.Time{}
	a.mu.Unlock()
}

// get returns an entry and its address, if possible of another entry than avoid.
func (a *addressCache) get(avoid string) (string, string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if time.Now().Before(a.validUntil) && a.entry != avoid {
		return a.entry, a.address, nil
	}
	known := a.load.knownEntries()
	rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	var last error
	for _, queried := range known {
		answer, err := a.load.queryAddress(queried.address, a.zone)
		if err != nil {
			last = err
			continue
		}
		for _, address := range []string{answer.Address, answer.Alternate} {
			entry, reachable, found := a.load.resolveForCallers(address)
			if found && (entry != avoid || address == answer.Alternate) {
				a.entry, a.address = entry, reachable
				a.validUntil = time.Now().Add(time.Duration(answer.ValidSeconds) * time.Second)
				return entry, reachable, nil
			}
		}
	}
	return "", "", fmt.Errorf("no entry returned a usable address: %w", last)
}

func (c *loadGenerator) queryAddress(address, zone string) (gateway.AddressResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), addressTimeout)
	defer cancel()
	var answer gateway.AddressResponse
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

// entryAddress is an entry with the address at which the load generator reaches it.
type entryAddress struct {
	entry, address string
}

// addEntry adds an entry to those that address queries are sent to.
func (c *loadGenerator) addEntry(entry string) error {
	if _, err := c.cluster.ClientAddress(entry); err != nil {
		return err
	}
	c.mu.Lock()
	c.entries[c.cluster.Listed(entry).HTTPAddress] = entry
	c.mu.Unlock()
	return nil
}

// removeEntry ends address queries to an entry that has stopped.
func (c *loadGenerator) removeEntry(entry string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, name := range c.entries {
		if name == entry {
			delete(c.entries, address)
		}
	}
}

func (c *loadGenerator) knownEntries() []entryAddress {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []entryAddress
	for _, entry := range c.entries {
		if address, err := c.cluster.ClientAddress(entry); err == nil {
			all = append(all, entryAddress{entry: entry, address: address})
		}
	}
	return all
}

// resolveForCallers maps an address from a response, which is valid in the zone of the
// responding entry, to the name of the entry behind it and that entry's caller address.
func (c *loadGenerator) resolveForCallers(address string) (string, string, bool) {
	if address == "" {
		return "", "", false
	}
	c.mu.Lock()
	entry, found := c.entries[c.network.Upstream(address)]
	c.mu.Unlock()
	if !found {
		return "", "", false
	}
	reachable, err := c.cluster.ClientAddress(entry)
	return entry, reachable, err == nil
}
