package record

import (
	"context"
	"errors"
	"time"
)

// Store holds records. Implementations are safe for one writer and any number of readers. After an error of Write
// it is unknown whether the records were written; writing them again is harmless.
type Store interface {
	// Write writes records durably, all or none. A record replaces a stored one with the same id and a lower step. It
	// returns ErrFenced if a newer start of the instance has taken over.
	Write(ctx context.Context, batch []Record) error
	// Epoch returns the number of this start of the instance. Records of earlier starts have a lower epoch in their
	// ids.
	Epoch() uint32
	// OpenRecords returns up to limit records of earlier starts that were never answered, the oldest first.
	OpenRecords(ctx context.Context, limit int) ([]Record, error)
	// Keyed calls f with the class, key, result and answer time of each keyed message that was served at or after
	// since (Unix microseconds).
	Keyed(ctx context.Context, since int64, f func(class, key string, content []byte, answered int64)) error
	// Query calls f with the records that match q, in the order of instance and id. It stops at the first error of f
	// and returns it.
	Query(ctx context.Context, q Query, f func(instance string, r Record) error) error
	// Prune deletes at most limit records that were answered before the given time (Unix microseconds) and returns
	// how many it deleted. Of which instances is up to the store: sqlite prunes those of all, postgres those of all for
	// an operator and only its own for a serving dispatcher.
	Prune(ctx context.Context, before int64, limit int) (int, error)
	// Size returns the number of records of all instances.
	Size(ctx context.Context) (int64, error)
	Close() error
}

// Query selects records; an empty field matches all records.
type Query struct {
	Instance string
	Class    string
	Verdict  string // name of a verdict
	Name     string
	Since    int64 // accepted at or after, Unix microseconds
	Until    int64 // accepted before, Unix microseconds
	Limit    int
}

// ErrFenced is returned when a newer start of the same instance has taken over the store; nothing was written.
var ErrFenced = errors.New("a newer dispatcher of this name has taken over the store")

// EpochAt returns the lowest epoch for a start at the given time: the seconds since 2026-01-01 UTC. An epoch that
// only counted starts could be assigned twice after a store was restored from a backup, once to a dispatcher that
// still runs.
func EpochAt(t time.Time) int64 { return max(t.Unix()-1_767_225_600, 1) }

// settleBatch is the number of records that a recovery settles in one write.
const settleBatch = 5000

// RecoveryResult describes what a recovery did.
type RecoveryResult struct {
	Failed  int // settled as failed: they may have run
	Refused int // settled as refused: they never ran
	Keys    int // keyed results remembered to answer repeats
	Took    time.Duration
}

// Recover settles the records that earlier starts left open, and passes keyed results to the journal. A crash
// during a recovery is harmless: settled records stay settled, and the next start settles the rest. now is Unix
// microseconds.
func Recover(ctx context.Context, s Store, j *Journal, classes []Class, now int64) (RecoveryResult, error) {
	start := time.Now()
	var rec RecoveryResult
	for {
		open, err := s.OpenRecords(ctx, settleBatch)
		if err != nil {
			return rec, err
		}
		if len(open) == 0 {
			break
		}
		for i := range open {
			open[i].SettleAfterCrash(now)
			if open[i].Verdict == Failed {
				rec.Failed++
			} else {
				rec.Refused++
			}
		}
		if err := s.Write(ctx, open); err != nil {
			return rec, err
		}
	}
	index, maxWindow := map[string]int{}, int64(0)
	for i, c := range classes {
		index[c.Name] = i
		maxWindow = max(maxWindow, c.Window)
	}
	if maxWindow > 0 {
		err := s.Keyed(ctx, now-maxWindow, func(class, key string, content []byte, answered int64) {
			if i, known := index[class]; known {
				j.Remember(i, key, content, answered)
				rec.Keys++
			}
		})
		if err != nil {
			return rec, err
		}
	}
	rec.Took = time.Since(start)
	return rec, nil
}
