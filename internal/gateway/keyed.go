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
	maxKeyBytes          = 256
	headerIdempotencyKey = "Idempotency-Key"
	uuidTimeVersion      = 7
	uuidTimeBytes        = 6
)

// idempotencyKey is the key of a request that must not run twice.
type idempotencyKey struct {
	id            ownership.ID
	requestDigest uint64
	// issued and submitted are Unix milliseconds. stamped says that the key carried
	// no issue time and this entry set it by its own clock.
	issued    int64
	stamped   bool
	submitted int64
	owner     ownership.Owner

	// statusChecked says that the key's owner has decided on the key or was asked
	// for its status; usedForOtherRequest that the key belongs to a request with
	// other contents; submissionNotRun that no attempt of this submission started.
	statusChecked       bool
	usedForOtherRequest bool
	submissionNotRun    bool
}

func keyFromHeader(r *http.Request) string {
	if key := r.Header.Get(message.HeaderKey); key != "" {
		return key
	}
	return r.Header.Get(headerIdempotencyKey)
}

// newIdempotencyKey returns the key by which the request is run at most once,
// or nil for a repeatable request and for one without a key.
func newIdempotencyKey(r *http.Request, route table.Route, customer string, body []byte, now time.Time) (*idempotencyKey, error) {
	key := keyFromHeader(r)
	if key == "" || route.Repeatable {
		return nil, nil
	}
	if len(key) > maxKeyBytes {
		return nil, failure.New(failure.Invalid, "send at most "+strconv.Itoa(maxKeyBytes)+" bytes", "the key is too long")
	}
	k := &idempotencyKey{
		id:            ownership.ID{Pool: route.Pool, Customer: customer, Key: key},
		requestDigest: computeRequestDigest(r, body),
		submitted:     now.UnixMilli(),
	}
	if text := r.Header.Get(message.HeaderKeyIssued); text != "" {
		issued, err := strconv.ParseInt(text, 10, 64)
		if err != nil || issued <= 0 {
			return nil, failure.New(failure.Invalid, "send Unix milliseconds", "%s is not a time", message.HeaderKeyIssued)
		}
		k.issued = issued
		return k, nil
	}
	if issued, found := uuidTime(key); found {
		k.issued = issued
		return k, nil
	}
	k.issued, k.stamped = k.submitted, true
	return k, nil
}

func computeRequestDigest(r *http.Request, body []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(r.Method + "\x00" + r.URL.RequestURI() + "\x00")
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// uuidTime returns the timestamp of a version 7 UUID in Unix milliseconds.
func uuidTime(key string) (int64, bool) {
	parsed, err := uuid.Parse(key)
	if err != nil || parsed.Version() != uuidTimeVersion {
		return 0, false
	}
	var padded [8]byte
	copy(padded[len(padded)-uuidTimeBytes:], parsed[:uuidTimeBytes])
	return int64(binary.BigEndian.Uint64(padded[:])), true
}

func (k *idempotencyKey) setHeaders(header http.Header) {
	header.Set(message.HeaderKeyIssued, strconv.FormatInt(k.issued, 10))
	header.Set(message.HeaderKeyDigest, strconv.FormatUint(k.requestDigest, 10))
	header.Set(message.HeaderSubmitted, strconv.FormatInt(k.submitted, 10))
	if k.stamped {
		header.Set(message.HeaderKeyStamped, "yes")
	}
}

func (k *idempotencyKey) submission() ownership.Submission {
	return ownership.Submission{ID: k.id, Digest: k.requestDigest, Issued: k.issued, Stamped: k.stamped, Submitted: k.submitted}
}

// handleKeyRefusal continues after the owner's verdict on a key. It returns
// false when the refusal is not about the key.
func (e *exchange) handleKeyRefusal(verdict ownership.Verdict, holder string) (dispatch.Action, bool) {
	now := time.Now()
	switch verdict {
	case ownership.Duplicate:
		e.attemptID = holder
		return e.dispatcher.KeyInUse(now), true
	case ownership.Mismatch:
		e.key.statusChecked, e.key.usedForOtherRequest = true, true
		return e.dispatcher.Rejected(), true
	case ownership.Barred:
		e.key.statusChecked = true
		return e.dispatcher.Rejected(), true
	case ownership.IssuedBefore:
		return e.queryPreviousOwner(), true
	case ownership.NotOwner, ownership.Unconfirmed:
		return e.dispatcher.NoInstance(now), true
	case ownership.TableFull:
		return e.dispatcher.Rejected(), true
	}
	return dispatch.Action{}, false
}

// checkKeyStatus asks the key's owner for the key's status before the caller
// gets not_run, because an earlier submission through another entry may have
// been run or may still arrive.
func (e *exchange) checkKeyStatus() dispatch.Action {
	owner, found := e.handler.ownership.ownerOf(e.route.Pool, e.customer, e.key.id.Key)
	if !found {
		return e.keyStatusUnknown()
	}
	return e.queryKeyStatus(owner.Instance, owner.Incarnation)
}

// queryPreviousOwner asks the previous owner, which released the slot, for the
// status of a key that was issued before the change of owner.
func (e *exchange) queryPreviousOwner() dispatch.Action {
	if refused := e.dispatcher.Rejected(); refused.Outcome != dispatch.NotRun {
		return refused
	}
	if e.key.owner.Previous == "" {
		return e.keyStatusUnknown()
	}
	return e.queryKeyStatus(e.key.owner.Previous, e.key.owner.PreviousIncarnation)
}

func (e *exchange) queryKeyStatus(name, incarnation string) dispatch.Action {
	e.key.statusChecked = true
	agent, found := e.handler.agentStates.lookup(name)
	if !found || agent.Incarnation != incarnation {
		return e.keyStatusUnknown()
	}
	ctx, cancel := context.WithTimeout(context.Background(), e.statusQueryTimeout())
	defer cancel()
	args := message.KeyStatusArgs{Incarnation: incarnation, Submission: e.key.submission()}
	var reply message.KeyStatusReply
	if err := e.handler.client.Call(ctx, agent.instance.ControlAddress, message.MethodKeyStatus, args, &reply); err != nil {
		return e.keyStatusUnknown()
	}
	switch reply.Fate {
	case dispatch.AttemptNeverStarted:
		return dispatch.Action{Kind: dispatch.Finish, Outcome: dispatch.NotRun}
	case dispatch.AttemptRunning, dispatch.AttemptDone:
		e.agent, e.attemptID, e.storedAnswer = agent, reply.Holder, reply.Answer
		return e.dispatcher.StatusReceived(reply.Fate, time.Now())
	}
	return e.keyStatusUnknown()
}

// keyStatusUnknown ends a submission that was not run, when the status of its
// key cannot be determined.
func (e *exchange) keyStatusUnknown() dispatch.Action {
	e.key.statusChecked, e.key.submissionNotRun = true, true
	return dispatch.Action{Kind: dispatch.Finish, Outcome: dispatch.Unknown}
}
