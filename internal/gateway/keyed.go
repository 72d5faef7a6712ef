package gateway

import (
	"context"
	"encoding/binary"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"plantainrelay/internal/dispatch"
	"plantainrelay/internal/failure"
	"plantainrelay/internal/message"
	"plantainrelay/internal/ownership"
	"plantainrelay/internal/table"
)

const (
	maxKeyBytes     = 256
	headerKeyCommon = "Idempotency-Key"
	uuidTimeVersion = 7
	uuidTimeBytes   = 6
)

// requestKey is the idempotency key of a request that is not repeatable.
type requestKey struct {
	id        ownership.ID
	digest    uint64
	issued    int64
	stamped   bool
	submitted int64
	owner     ownership.Owner

	// settled says that the key's fate was asked of its owner; reused that the
	// key belongs to another request; submissionNotRun that no attempt of this
	// submission started.
	settled          bool
	reused           bool
	submissionNotRun bool
}

func callersKey(r *http.Request) string {
	if key := r.Header.Get(message.HeaderKey); key != "" {
		return key
	}
	return r.Header.Get(headerKeyCommon)
}

// keyOf returns the key by which a request is run at most once, or nil for a
// repeatable request and for one without a key.
func keyOf(r *http.Request, route table.Route, customer string, body []byte, now time.Time) (*requestKey, error) {
	key := callersKey(r)
	if key == "" || route.Repeatable {
		return nil, nil
	}
	if len(key) > maxKeyBytes {
		return nil, failure.New(failure.Invalid, "send at most "+strconv.Itoa(maxKeyBytes)+" bytes", "the key is too long")
	}
	k := &requestKey{
		id:        ownership.ID{Pool: route.Pool, Customer: customer, Key: key},
		digest:    digestOf(r, body),
		submitted: now.UnixMilli(),
	}
	if text := r.Header.Get(message.HeaderKeyIssued); text != "" {
		issued, err := strconv.ParseInt(text, 10, 64)
		if err != nil || issued <= 0 {
			return nil, failure.New(failure.Invalid, "send Unix milliseconds", "%s is not a time", message.HeaderKeyIssued)
		}
		k.issued = issued
		return k, nil
	}
	if issued, found := timeOf(key); found {
		k.issued = issued
		return k, nil
	}
	k.issued, k.stamped = k.submitted, true
	return k, nil
}

func digestOf(r *http.Request, body []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(r.Method + "\x00" + r.URL.RequestURI() + "\x00")
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// timeOf returns the time inside a UUID of version 7, in Unix milliseconds.
func timeOf(key string) (int64, bool) {
	parsed, err := uuid.Parse(key)
	if err != nil || parsed.Version() != uuidTimeVersion {
		return 0, false
	}
	var padded [8]byte
	copy(padded[len(padded)-uuidTimeBytes:], parsed[:uuidTimeBytes])
	return int64(binary.BigEndian.Uint64(padded[:])), true
}

func (k *requestKey) addTo(header http.Header) {
	header.Set(message.HeaderKeyIssued, strconv.FormatInt(k.issued, 10))
	header.Set(message.HeaderKeyDigest, strconv.FormatUint(k.digest, 10))
	header.Set(message.HeaderSubmitted, strconv.FormatInt(k.submitted, 10))
	if k.stamped {
		header.Set(message.HeaderKeyStamped, "yes")
	}
}

func (k *requestKey) submission() ownership.Submission {
	return ownership.Submission{ID: k.id, Digest: k.digest, Issued: k.issued, Stamped: k.stamped, Submitted: k.submitted}
}

// refusedKey goes on after the owner's verdict on a key; false means that the
// refusal has another reason.
func (e *exchange) refusedKey(verdict ownership.Verdict, holder string) (dispatch.Action, bool) {
	now := time.Now()
	switch verdict {
	case ownership.Duplicate:
		e.attempt = holder
		return e.decision.Held(now), true
	case ownership.Mismatch:
		e.key.settled, e.key.reused = true, true
		return e.decision.Refused(), true
	case ownership.Barred:
		e.key.settled = true
		return e.decision.Refused(), true
	case ownership.Before:
		return e.askPrevious(), true
	case ownership.NotOwner, ownership.Unconfirmed:
		return e.decision.NoInstance(now), true
	case ownership.Full:
		return e.decision.Refused(), true
	}
	return dispatch.Action{}, false
}

// settle asks the key's owner before the caller is told not_run: an earlier
// submission through another entry may have been run, or may still arrive.
func (e *exchange) settle() dispatch.Action {
	owner, found := e.handler.owners.of(e.route.Pool, e.customer, e.key.id.Key)
	if !found {
		return e.unsettled()
	}
	return e.askKey(owner.Instance, owner.Incarnation)
}

// askPrevious asks the former owner, which gave the slot up by consent, about
// a key of its time.
func (e *exchange) askPrevious() dispatch.Action {
	if refused := e.decision.Refused(); refused.Outcome != dispatch.NotRun {
		return refused
	}
	if e.key.owner.Previous == "" {
		return e.unsettled()
	}
	return e.askKey(e.key.owner.Previous, e.key.owner.PreviousIncarnation)
}

func (e *exchange) askKey(name, incarnation string) dispatch.Action {
	e.key.settled = true
	agent, found := e.handler.states.state(name)
	if !found || agent.Incarnation != incarnation {
		return e.unsettled()
	}
	ctx, cancel := context.WithTimeout(context.Background(), e.askLimit())
	defer cancel()
	args := message.KeyFateArgs{Incarnation: incarnation, Submission: e.key.submission()}
	var reply message.KeyFateReply
	if err := e.handler.client.Call(ctx, agent.instance.ControlAddress, message.MethodKeyFate, args, &reply); err != nil {
		return e.unsettled()
	}
	switch reply.Fate {
	case dispatch.FateNeverStarted:
		return dispatch.Action{Kind: dispatch.Finish, Outcome: dispatch.NotRun}
	case dispatch.FateRunning, dispatch.FateDone:
		e.agent, e.attempt, e.kept = agent, reply.Holder, reply.Answer
		return e.decision.Told(reply.Fate, time.Now())
	}
	return e.unsettled()
}

// unsettled ends a submission that was not run while the fate of its key
// cannot be told.
func (e *exchange) unsettled() dispatch.Action {
	e.key.settled, e.key.submissionNotRun = true, true
	return dispatch.Action{Kind: dispatch.Finish, Outcome: dispatch.Unknown}
}
