package peer

import (
	"cmp"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"plantainrelay/internal/failure"
)

const (
	// maxMessageBytes bounds one message of net/rpc: the largest is a whole copy of the
	// tables or of the list of instances.
	maxMessageBytes = 8 << 20
	// smallMessageBytes is the size up to which each connection may receive a message at any
	// time. maxLargeBytes bounds all larger ones together that a client receives at one time.
	smallMessageBytes = 64 << 10
	maxLargeBytes     = 2 * maxMessageBytes
	// messageTimeout is how long a message may take from its first byte to its last.
	messageTimeout = 30 * time.Second
)

// limitedConn is a connection on which each received message is limited in size and
// time, so that a peer that sends bytes without an end neither fills the memory nor
// holds the connection for good. It follows the framing of package gob: each message is
// preceded by its length, which is one byte below 128, or the negated number of the
// length's bytes, followed by those bytes.
type limitedConn struct {
	net.Conn
	// maxBytes bounds a message; 0 means maxMessageBytes.
	maxBytes uint64
	// large, when set, bounds the messages above smallMessageBytes of several connections, and
	// held is what this one has taken of it.
	large    *semaphore.Weighted
	held     atomic.Int64
	isClosed atomic.Bool
	// lengthBytes is the number of bytes of the length that are still to come, length
	// what they say so far, remaining the rest of the message after its length.
	lengthBytes int
	length      uint64
	remaining   uint64
	// inMessage is set while a deadline for the rest of a message is in force.
	inMessage bool
}

// Read implements net.Conn.
func (l *limitedConn) Read(buffer []byte) (int, error) {
	count, err := l.Conn.Read(buffer)
	if limitErr := l.follow(buffer[:count]); limitErr != nil {
		return 0, limitErr
	}
	if deadlineErr := l.updateDeadline(); deadlineErr != nil && err == nil {
		err = deadlineErr
	}
	return count, err
}

// Close implements net.Conn.
func (l *limitedConn) Close() error {
	l.isClosed.Store(true)
	l.release()
	return l.Conn.Close()
}

// acquire takes memory for a message whose length is known.
func (l *limitedConn) acquire() error {
	if l.large == nil || l.remaining <= smallMessageBytes {
		return nil
	}
	bytes := int64(l.remaining)
	if !l.large.TryAcquire(bytes) {
		return failure.New(failure.Refused, "ask again", "too many large messages arrive at the same time for one of %d bytes", bytes)
	}
	l.held.Store(bytes)
	if l.isClosed.Load() {
		l.release()
	}
	return nil
}

func (l *limitedConn) release() {
	if held := l.held.Swap(0); held > 0 {
		l.large.Release(held)
	}
}

// Write implements net.Conn. A peer that does not read does not hold the message for good.
func (l *limitedConn) Write(data []byte) (int, error) {
	if err := l.SetWriteDeadline(time.Now().Add(messageTimeout)); err != nil {
		return 0, err
	}
	return l.Conn.Write(data)
}

// follow reads the lengths of the messages in received.
func (l *limitedConn) follow(received []byte) error {
	for len(received) > 0 {
		if l.remaining > 0 {
			skipped := min(l.remaining, uint64(len(received)))
			received = received[skipped:]
			if l.remaining -= skipped; l.remaining == 0 {
				l.release()
			}
			continue
		}
		next := received[0]
		received = received[1:]
		if l.lengthBytes == 0 {
			if next == 0 {
				return failure.New(failure.Invalid, "check the process at the other end", "a peer sent an empty message")
			}
			if next < 128 {
				l.remaining = uint64(next)
				continue
			}
			l.lengthBytes, l.length = -int(int8(next)), 0
		} else {
			l.length = l.length<<8 | uint64(next)
			if l.lengthBytes--; l.lengthBytes == 0 {
				l.remaining = l.length
			}
		}
		if limit := cmp.Or(l.maxBytes, maxMessageBytes); l.length > limit || l.lengthBytes > 8 {
			return failure.New(failure.Invalid, "check the process at the other end", "a peer announced a message of more than %d bytes", limit)
		}
		if l.lengthBytes == 0 {
			if err := l.acquire(); err != nil {
				return err
			}
		}
	}
	return nil
}

// updateDeadline sets the deadline of a message that has begun, and removes it after its
// end.
func (l *limitedConn) updateDeadline() error {
	partial := l.remaining > 0 || l.lengthBytes > 0
	if partial == l.inMessage {
		return nil
	}
	l.inMessage = partial
	if partial {
		return l.SetReadDeadline(time.Now().Add(messageTimeout))
	}
	return l.SetReadDeadline(time.Time{})
}
