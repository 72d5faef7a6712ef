package intake

import "time"

const (
	// SmallBytes is the size up to which a request is small: it may use the whole budget, and
	// does not lose what it holds to others.
	SmallBytes = 64 << 10
	// smallReserve is the share of the budget that only small requests use.
	smallReserve = 1.0 / 8
	// groupShare is the share of the budget that one client, one route, and the customers
	// without a key may hold with requests that are not small. Small ones may add smallReserve.
	groupShare = 3.0 / 4
	// bufferShare is the share of the budget up to which responses are buffered. They can be
	// forwarded without, and bodies cannot be read.
	bufferShare = 1.0 / 2
	// minPaceTime is how long a body is read before its pace is judged.
	minPaceTime = 500 * time.Millisecond
)

// Owner says whose request it is.
type Owner struct {
	// Client is the address of the caller.
	Client string
	Route  string
	// Customer is empty for a request without a key.
	Customer string
}

// Request describes a request when its head has been read.
type Request struct {
	Owner Owner
	// Length is the announced size of the body, -1 if it is unknown.
	Length int64
	// Deadline is when the request is given up.
	Deadline time.Time
}

// group is a set of requests that may not use the whole budget together.
type group struct {
	kind, name string
}

// Account holds the memory of one request.
type Account struct {
	request          Request
	sequence         uint64
	openedAt         time.Time
	progressAt       time.Time
	received         int64
	held             int64
	isReading        bool
	isWaiting        bool
	isShed, isClosed bool
}

// Held returns the bytes that the request holds.
func (a *Account) Held() int64 { return a.held }

// IsShed reports whether the request has to give back its memory at once.
func (a *Account) IsShed() bool { return a.isShed }

// Budget bounds the memory of all requests of a process. It is not safe for concurrent use.
type Budget struct {
	limit     int64
	stallTime time.Duration
	used      int64
	// freeing is what shed requests have not given back yet.
	freeing int64
	opened  uint64
	reading map[*Account]bool
	groups  map[group]int64
}

// NewBudget returns a budget of which nothing is used.
func NewBudget(limits Limits) *Budget {
	return &Budget{limit: limits.BufferBytes, stallTime: limits.StallTime, reading: map[*Account]bool{}, groups: map[group]int64{}}
}

// Used returns the bytes that are held.
func (b *Budget) Used() int64 { return b.used }

// Open returns the account of a request whose head takes headBytes.
func (b *Budget) Open(request Request, headBytes int64, now time.Time) *Account {
	b.opened++
	account := &Account{request: request, sequence: b.opened, openedAt: now, progressAt: now, isReading: true}
	b.reading[account] = true
	b.Charge(account, headBytes)
	return account
}

// Decision is the answer to a request for memory.
type Decision struct {
	Granted bool
	// Shed are the requests that have to give back their memory. If it is not granted, it may
	// be after that.
	Shed []*Account
}

// Grow asks for more bytes for a body that is being read.
func (b *Budget) Grow(account *Account, bytes int64, now time.Time) Decision {
	if account.isShed || account.isClosed {
		return Decision{}
	}
	if b.fits(account, bytes) {
		account.isWaiting = false
		b.Charge(account, bytes)
		return Decision{Granted: true}
	}
	account.isWaiting = true
	return Decision{Shed: b.shed(account, bytes, now)}
}

// Received records that bytes of a body have arrived.
func (b *Budget) Received(account *Account, bytes int64, now time.Time) {
	account.received += bytes
	account.progressAt = now
}

// Completed records that a body has arrived completely: the request may run from now on, and
// keeps its memory.
func (b *Budget) Completed(account *Account) {
	account.isReading = false
	delete(b.reading, account)
}

// TryCharge takes bytes for a response, if less than bufferShare is used.
func (b *Budget) TryCharge(account *Account, bytes int64) bool {
	if b.used+bytes > int64(bufferShare*float64(b.limit)) || !b.fits(account, bytes) {
		return false
	}
	b.Charge(account, bytes)
	return true
}

// Charge takes bytes that are in use in any case.
func (b *Budget) Charge(account *Account, bytes int64) {
	account.held += bytes
	b.add(account, bytes)
}

// Return gives back bytes of a request.
func (b *Budget) Return(account *Account, bytes int64) {
	bytes = min(bytes, account.held)
	account.held -= bytes
	b.add(account, -bytes)
	if account.isShed {
		b.freeing -= bytes
	}
}

// Close gives back all that a request holds.
func (b *Budget) Close(account *Account) {
	if account.isClosed {
		return
	}
	b.Return(account, account.held)
	b.Completed(account)
	account.isClosed = true
}

func (b *Budget) add(account *Account, bytes int64) {
	b.used += bytes
	for _, g := range groupsOf(account.request.Owner) {
		if b.groups[g] += bytes; b.groups[g] == 0 {
			delete(b.groups, g)
		}
	}
}

func groupsOf(owner Owner) []group {
	groups := []group{{"client", owner.Client}, {"route", owner.Route}}
	if owner.Customer == "" {
		groups = append(groups, group{"anonymous", ""})
	}
	return groups
}

func (b *Budget) isSmall(account *Account, bytes int64) bool { return account.held+bytes <= SmallBytes }

// caps returns what all, and one group, may hold if the account gets more bytes.
func (b *Budget) caps(account *Account, bytes int64) (all, inGroup int64) {
	if b.isSmall(account, bytes) {
		return b.limit, int64((groupShare + smallReserve) * float64(b.limit))
	}
	return int64((1 - smallReserve) * float64(b.limit)), int64(groupShare * float64(b.limit))
}

func (b *Budget) fits(account *Account, bytes int64) bool {
	all, inGroup := b.caps(account, bytes)
	if b.used+bytes > all {
		return false
	}
	for _, g := range groupsOf(account.request.Owner) {
		if b.groups[g]+bytes > inGroup {
			return false
		}
	}
	return true
}

// shed chooses the requests that lose their memory so that the account gets more bytes: first
// those that make no progress or too little, the largest first, and then the newest.
func (b *Budget) shed(account *Account, bytes int64, now time.Time) []*Account {
	all, inGroup := b.caps(account, bytes)
	missing := b.used + bytes - all
	var full []group
	for _, g := range groupsOf(account.request.Owner) {
		if over := b.groups[g] + bytes - inGroup; over > 0 {
			full = append(full, g)
			missing = max(missing, over)
		}
	}
	var chosen []*Account
	for missing -= b.freeing; missing > 0; {
		victim := b.victim(account, bytes, full, now)
		if victim == nil {
			break
		}
		victim.isShed = true
		b.freeing += victim.held
		missing -= victim.held
		chosen = append(chosen, victim)
	}
	return chosen
}

func (b *Budget) victim(account *Account, bytes int64, full []group, now time.Time) *Account {
	var best *Account
	bestIsLate := false
	for candidate := range b.reading {
		if candidate == account || candidate.isShed || candidate.held <= SmallBytes || !belongsTo(candidate, full) {
			continue
		}
		isLate := b.isLate(candidate, now)
		if !isLate && !b.isSmall(account, bytes) && candidate.sequence < account.sequence {
			continue
		}
		if best == nil || isLate && !bestIsLate || isLate == bestIsLate && isBefore(candidate, best, isLate) {
			best, bestIsLate = candidate, isLate
		}
	}
	return best
}

// isBefore reports whether a is given up before b.
func isBefore(a, b *Account, areLate bool) bool {
	if areLate && a.held != b.held {
		return a.held > b.held
	}
	return a.sequence > b.sequence
}

// isLate reports whether a body makes no progress, or will not be complete in time at its pace.
func (b *Budget) isLate(account *Account, now time.Time) bool {
	if account.isWaiting {
		return false
	}
	if now.Sub(account.progressAt) >= b.stallTime {
		return true
	}
	taken := now.Sub(account.openedAt)
	if account.request.Length < 0 || taken < minPaceTime {
		return false
	}
	missing := float64(account.request.Length - account.received)
	return missing*taken.Seconds() > float64(account.received)*account.request.Deadline.Sub(now).Seconds()
}

func belongsTo(account *Account, full []group) bool {
	for _, g := range full {
		switch g.kind {
		case "client":
			if account.request.Owner.Client == g.name {
				continue
			}
		case "route":
			if account.request.Owner.Route == g.name {
				continue
			}
		default:
			if account.request.Owner.Customer == "" {
				continue
			}
		}
		return false
	}
	return true
}
