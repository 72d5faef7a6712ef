package relay

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"plantainrelay/internal/blocklist"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/copies"
	"plantainrelay/internal/failure"
	"plantainrelay/internal/replica"
	"plantainrelay/platform"
)

const (
	// saveInterval is the time between two checks for records that the store lacks.
	saveInterval = 200 * time.Millisecond
	// saveRankDelay times the rank of this entry among the live ones is how long it waits
	// for another one to save a record.
	saveRankDelay = time.Second
	// saveTimeout bounds one write.
	saveTimeout = 2 * time.Second
	// minSaveBackoff and maxSaveBackoff bound the delay after a failed write.
	minSaveBackoff = 500 * time.Millisecond
	maxSaveBackoff = 8 * time.Second
	// maxSavesPerTurn bounds the records that are saved in one turn.
	maxSavesPerTurn = 4
)

// blockSaver enters the records of blocked parts in the store, so that they outlive the
// entries that have decided them.
type blockSaver struct {
	blocker *blocker
	copies  *copies.Copies
	store   *platform.StoreClient
	log     *logrus.Entry
	// rank returns the position of this entry in the order in which entries save the
	// record of a part.
	rank blocklist.Turn
	// trials holds trials that are due, to be entered in the store.
	trials  chan blocklist.Record
	backoff time.Duration
	retryAt time.Time
}

func newBlockSaver(b *blocker, c *copies.Copies, store *platform.StoreClient, rank blocklist.Turn, log *logrus.Entry) *blockSaver {
	return &blockSaver{blocker: b, copies: c, store: store, rank: rank, log: log, trials: make(chan blocklist.Record, 1), backoff: minSaveBackoff}
}

// Run saves records until ctx ends.
func (s *blockSaver) Run(ctx context.Context) {
	ticker := time.NewTicker(saveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.saveDue(ctx, clock.Now())
		case trial := <-s.trials:
			s.saveTrial(ctx, trial)
		}
	}
}

// claimTrial enters a trial in the store soon, unless another one waits for it.
func (s *blockSaver) claimTrial(record blocklist.Record) {
	select {
	case s.trials <- record:
	default:
	}
}

// saveDue saves the records for which it is this entry's turn.
func (s *blockSaver) saveDue(ctx context.Context, now time.Time) {
	if now.Before(s.retryAt) {
		return
	}
	for _, unsaved := range s.blocker.unsaved(maxSavesPerTurn) {
		if rank, _ := s.rank(unsaved.Part); now.Sub(unsaved.LearnedAt) < time.Duration(rank)*saveRankDelay {
			continue
		}
		if !s.save(ctx, unsaved.Record) {
			return
		}
	}
}

func (s *blockSaver) saveTrial(ctx context.Context, record blocklist.Record) {
	if s.save(ctx, record) {
		s.blocker.grantTrial(record)
	}
}

// save enters a record in the store and reports whether it succeeded. After a conflict, the
// copy of the store shows what it has.
func (s *blockSaver) save(ctx context.Context, record blocklist.Record) bool {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	err := s.saveAfterOlder(ctx, record)
	log := s.log.WithFields(logrus.Fields{"model": record.Model, "part": record.ID, "version": record.Version, "lifted": record.Lifted, "trials": record.Trials})
	if err == nil {
		s.backoff = minSaveBackoff
		s.blocker.saved(record)
		log.Info("the record of a part of prompts is in the store")
		return true
	}
	s.retryAt = clock.Now().Add(s.backoff)
	s.backoff = min(2*s.backoff, maxSaveBackoff)
	if failure.Is(err, failure.Conflict) {
		log.Info("the store has another record of a part of prompts")
		return false
	}
	log.WithError(err).Warning("the record of a part of prompts cannot be saved; retrying with backoff")
	return false
}

// saveAfterOlder enters a record in the store if the store has an older one of the part, or
// none. The copy of the store may have changed since the record was decided on.
func (s *blockSaver) saveAfterOlder(ctx context.Context, record blocklist.Record) error {
	snapshot := s.copies.Snapshot(platform.Blocks)
	document, found := snapshot.Documents[platform.BlockName(record.Part)]
	if !found || document.Revision.Era < snapshot.Content.Era {
		return s.store.SaveBlock(ctx, record, replica.Revision{})
	}
	// A record that cannot be decoded is replaced.
	if stored, err := platform.DecodeBlock(document); err == nil && stored.Version >= record.Version {
		return failure.New(failure.Conflict, "none; the newer record holds", "version %d of the record is not newer than version %d in the store", record.Version, stored.Version)
	}
	return s.store.SaveBlock(ctx, record, document.Revision)
}
