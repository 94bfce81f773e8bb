package record

import (
	"context"
	"errors"
	"time"
)

// Store keeps records. Implementations are safe for one writer and any readers. An error of Write leaves open whether
// the records were written; writing them again is harmless.
type Store interface {
	// Write writes records durably, all or none. A record replaces one of the same id whose step is lower.
	Write(ctx context.Context, batch []Record) error
	// Epoch is this start's number of the instance; records of earlier starts have lower ones in their ids.
	Epoch() uint32
	// OpenRecords gives up to limit records of earlier starts that were never answered, the oldest first.
	OpenRecords(ctx context.Context, limit int) ([]Record, error)
	// Keyed calls f with the key, class, result and time of each keyed message that was served after a time.
	Keyed(ctx context.Context, since int64, f func(class, key string, content []byte, answered int64)) error
	// Query calls f with the records that fit, in the order of their ids.
	Query(ctx context.Context, q Query, f func(instance string, r Record) error) error
	// Prune deletes answered records that were answered before a time, at most limit, and tells how many.
	Prune(ctx context.Context, before int64, limit int) (int, error)
	// Size is the number of records.
	Size(ctx context.Context) (int64, error)
	Close() error
}

// Query chooses records; what is empty chooses all.
type Query struct {
	Instance string
	Class    string
	Verdict  string // a verdict's name
	Name     string
	Since    int64 // taken at or after
	Until    int64 // taken before
	Limit    int
}

// ErrFenced says that a newer start of the same instance has taken over; nothing was written.
var ErrFenced = errors.New("a newer dispatcher of this name has taken over the store")

// EpochAt is the least epoch of a start at a time: seconds since 2026. Epochs that only counted could be given twice after
// a store was restored from a backup, once to a dispatcher that still runs.
func EpochAt(t time.Time) int64 { return max(t.Unix()-1_767_225_600, 1) }

// settleBatch is how many records a recovery settles in one write.
const settleBatch = 5000

// Recovered tells what a recovery did.
type Recovered struct {
	Failed  int // settled as failed: they may have run
	Refused int // settled as refused: they never ran
	Keys    int // results remembered for repeats
	Took    time.Duration
}

// Recover settles what earlier starts left open and remembers keyed results. A crash within it is harmless: what was
// settled stays so, and the rest is settled at the next start. now is Unix microseconds.
func Recover(ctx context.Context, s Store, j *Journal, classes []Class, now int64) (Recovered, error) {
	begun := time.Now()
	var rec Recovered
	for {
		open, err := s.OpenRecords(ctx, settleBatch)
		if err != nil {
			return rec, err
		}
		if len(open) == 0 {
			break
		}
		for i := range open {
			open[i].Settle(now)
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
	index, window := map[string]int{}, int64(0)
	for i, c := range classes {
		index[c.Name] = i
		window = max(window, c.Window)
	}
	if window > 0 {
		err := s.Keyed(ctx, now-window, func(class, key string, content []byte, answered int64) {
			if i, known := index[class]; known {
				j.Remember(i, key, content, answered)
				rec.Keys++
			}
		})
		if err != nil {
			return rec, err
		}
	}
	rec.Took = time.Since(begun)
	return rec, nil
}
