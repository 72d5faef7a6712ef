// Package promptcache records which model engines have recently begun a request whose prompt
// begins with a chain of parts, and estimates how much of a further prompt they still hold. It
// does no I/O: callers pass in events and the time.
//
// The records are expectations. No engine reports what it holds, so they must only ever change
// an estimate, never whether a request may be served.
package promptcache

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"plantainrelay/internal/catalog"
)

const (
	// maxRecords bounds the records of all instances. One takes about 150 bytes.
	maxRecords = 4096
	// maxChain bounds the parts of a prompt that are recorded. Each takes a record.
	maxChain = 16
)

// Engine identifies one start of an instance. A later start holds nothing of an earlier one.
type Engine struct {
	Instance string
	Start    int64
}

// chainKey identifies the first parts of a prompt at one engine. Two chains with the same hash
// are taken for one, which makes an estimate wrong and has no other effect.
type chainKey struct {
	engine Engine
	hash   uint64
}

type record struct {
	version int64
	at      time.Time
}

// Table records what engines are expected to hold. It is not safe for concurrent use. A nil
// *Table records nothing.
type Table struct {
	retention time.Duration
	records   *simplelru.LRU[chainKey, record]
}

// New returns a table of engines that hold a prompt for the given time after they have begun a
// request with it; nil if they hold none.
func New(retention time.Duration) *Table {
	if retention <= 0 {
		return nil
	}
	records, err := simplelru.NewLRU[chainKey, record](maxRecords, nil)
	if err != nil {
		// Only a size below 1 is an error.
		panic(err)
	}
	return &Table{retention: retention, records: records}
}

// Record records that an engine with weights of the given version has read a prompt that begins
// with chain. Records are evicted in the order in which they were made, those of a
// prompt's longest beginning first: other prompts share the shorter ones.
func (t *Table) Record(engine Engine, version int64, chain Chain, now time.Time) {
	if t == nil {
		return
	}
	for _, link := range slices.Backward(chain) {
		t.records.Add(chainKey{engine, link.hash}, record{version: version, at: now})
	}
}

// HeldTokens returns the number of tokens of the longest beginning of chain that the engine is
// expected to hold for weights of the given version.
func (t *Table) HeldTokens(engine Engine, version int64, chain Chain, now time.Time) int {
	if t == nil {
		return 0
	}
	for _, link := range slices.Backward(chain) {
		known, found := t.records.Peek(chainKey{engine, link.hash})
		if found && known.version == version && now.Sub(known.at) < t.retention {
			return link.tokens
		}
	}
	return 0
}

// Forget deletes the records of an engine, which has loaded other weights.
func (t *Table) Forget(engine Engine) {
	if t == nil {
		return
	}
	for _, key := range t.records.Keys() {
		if key.engine == engine {
			t.records.Remove(key)
		}
	}
}

// Len returns the number of records.
func (t *Table) Len() int {
	if t == nil {
		return 0
	}
	return t.records.Len()
}

// Chain is the beginning of a prompt: its first part, its first two parts and so on.
type Chain []link

// link is a number of first parts, with the sum of their tokens.
type link struct {
	hash   uint64
	tokens int
}

// NewChain returns the chain of the first parts of a prompt. A part with another number of
// tokens is another part.
func NewChain(parts []catalog.PromptPart) Chain {
	parts = parts[:min(len(parts), maxChain)]
	chain := make(Chain, len(parts))
	digest, tokens := xxhash.New(), 0
	for i, part := range parts {
		var sizes [16]byte
		binary.LittleEndian.PutUint64(sizes[:8], uint64(len(part.ID)))
		binary.LittleEndian.PutUint64(sizes[8:], uint64(part.Tokens))
		// Writes to a digest return no error.
		_, _ = digest.Write(sizes[:])
		_, _ = digest.WriteString(part.ID)
		tokens += part.Tokens
		chain[i] = link{hash: digest.Sum64(), tokens: tokens}
	}
	return chain
}
