package lifecycle

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/url"
	"slices"
	"time"

	"granitewing/internal/driver"
	"granitewing/internal/record"
	"granitewing/internal/settings"
	"granitewing/internal/wire/platform"
)

// RecordSettings configures a store of record.
type RecordSettings struct {
	Store         StoreSettings          `sexp:"store,required"`
	Classes       []ClassSettings        `sexp:"class"`
	SlowWrite     time.Duration          `sexp:"patience" min:"0.001" max:"60"`   // the breaker opens after a write that takes longer
	Limit         time.Duration          `sexp:"write-limit" min:"0.01" max:"60"` // a write that takes longer has failed
	Probe         settings.DurationRange `sexp:"probe" min:"0.001" max:"600"`     // interval between probes of an unavailable store
	SpoolMessages int                    `sexp:"spool" min:"100" max:"10000000"`  // messages that may wait to be written
	Bytes         settings.Size          `sexp:"spool-bytes"`
	Batch         int                    `sexp:"batch" min:"1" max:"100000"` // records per write
	Retain        time.Duration          `sexp:"retain" min:"60"`            // answered records are deleted after this time; 0: never
	MaxRecords    int64                  `sexp:"retain-most" min:"1000"`     // and the oldest beyond this number; 0: no bound
}

// StoreSettings identifies a store.
type StoreSettings struct {
	Kind      string        `sexp:",arg,required" one-of:"sqlite|postgres"`
	Path      string        `sexp:",arg,required"`                       // of the file, or the database's URL
	Statement time.Duration `sexp:"statement-limit" min:"0.1" max:"600"` // statement timeout that the server applies
}

// location returns where the store is, without a password.
func (s StoreSettings) location() string {
	if s.Kind != "postgres" {
		return s.Path
	}
	u, err := url.Parse(s.Path)
	if err != nil {
		return "(a URL that can't be read)"
	}
	return u.Redacted()
}

// ClassSettings says when the records of a class must be durable.
type ClassSettings struct {
	Name   string        `sexp:",arg,required"`
	Policy string        `sexp:",arg,required" one-of:"off|behind|told|before"`
	Window time.Duration `sexp:"repeat" min:"0" max:"604800"` // a repeated key gets the recorded result for this long
	Where  settings.Pos  `sexp:",pos"`
}

// SetDefaults implements settings.Defaulter.
func (r *RecordSettings) SetDefaults() {
	l := record.DefaultLimits
	*r = RecordSettings{SlowWrite: 250 * time.Millisecond, Limit: 5 * time.Second, Probe: settings.DurationRange{Lo: 100 * time.Millisecond, Hi: 5 * time.Second},
		SpoolMessages: l.Messages, Bytes: settings.Size(l.Bytes), Batch: l.Batch}
}

// classes resolves the settings against the platform's classes; a class that is not listed is written behind.
func (r *RecordSettings) classes(cfg *platform.Config) ([]record.Class, error) {
	out := make([]record.Class, len(cfg.Settings.Classes))
	for i, c := range cfg.Settings.Classes {
		out[i] = record.Class{Name: c.Name, Policy: record.Behind}
	}
	seen := map[string]bool{}
	for _, c := range r.Classes {
		i := slices.IndexFunc(out, func(k record.Class) bool { return k.Name == c.Name })
		if i < 0 {
			return nil, &settings.Error{Pos: c.Where, Path: "record.class", Reason: fmt.Sprintf("the configuration has no class %q", c.Name)}
		}
		if seen[c.Name] {
			return nil, &settings.Error{Pos: c.Where, Path: "record.class", Reason: fmt.Sprintf("class %q is given twice", c.Name)}
		}
		seen[c.Name] = true
		out[i].Policy, _ = record.ParsePolicy(c.Policy)
		out[i].Window = c.Window.Microseconds()
		if c.Window > 0 && out[i].Policy < record.BeforeAnswer {
			return nil, &settings.Error{Pos: c.Where, Path: "record.class.repeat", Reason: "only what is durable before its client is told (told, before) can answer repeats"}
		}
	}
	return out, nil
}

// OpenStore opens the store that the settings name. The string is the name of the dispatcher's instance, and the mode
// is the use (Serving for a dispatcher, Reading or Repairing for the operators' subcommands). This default fails; a
// build with a store replaces it.
var OpenStore = func(context.Context, StoreSettings, string, StoreMode) (record.Store, error) {
	return nil, errors.New("this build has no store of record; bin/granitewing-store has")
}

// StoreMode is the purpose for which a store is opened.
type StoreMode uint8

// Purposes for which a store is opened.
const (
	Serving   StoreMode = iota // a dispatcher writes to it
	Reading                    // an operator looks at it
	Repairing                  // an operator settles or prunes
)

// recoverTimeout bounds the recovery of what earlier starts left.
const recoverTimeout = 2 * time.Minute

// openRecords opens the store, settles the records that earlier starts left open, and returns what the driver needs.
func openRecords(cfg *platform.Config, r *RecordSettings, log *slog.Logger) (*driver.Records, error) {
	classes, err := r.classes(cfg)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), recoverTimeout)
	defer cancel()
	store, err := OpenStore(ctx, r.Store, cfg.Name, Serving)
	if err != nil {
		return nil, err
	}
	limits := record.DefaultLimits
	limits.Messages, limits.Bytes, limits.Batch = r.SpoolMessages, int(r.Bytes), r.Batch
	breaker := record.NewBreaker(r.SlowWrite.Microseconds(), r.Probe.Lo.Microseconds(), r.Probe.Hi.Microseconds(), cfg.Seed)
	j := record.New(classes, store.Epoch(), limits, breaker)
	done, err := record.Recover(ctx, store, j, classes, time.Now().UnixMicro())
	if err != nil {
		store.Close()
		return nil, fmt.Errorf("recovery: %w", err)
	}
	log.Info("store of record opened", "epoch", store.Epoch(), "settled_failed", done.Failed, "settled_refused", done.Refused, "keys", done.Keys, "took", done.Took)
	return &driver.Records{Journal: j, Store: store, WriteTimeout: r.Limit}, nil
}

const (
	pruneEvery = time.Minute
	pruneBatch = 2000 // records per deletion, so that writes do not wait long behind it
)

// prune deletes records that are past their retention until stop is closed. now is the dispatcher's clock, which the
// times in the records use: a step of the wall clock makes no record older.
func prune(r *RecordSettings, store record.Store, now func() int64, log *slog.Logger, stop <-chan struct{}) {
	tick := time.NewTicker(pruneEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-stop:
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), pruneEvery)
		if err := pruneOnce(ctx, r, store, now()); err != nil {
			log.Warn("store of record: pruning failed", "cause", err)
		}
		cancel()
	}
}

func pruneOnce(ctx context.Context, r *RecordSettings, store record.Store, now int64) error {
	for r.Retain > 0 {
		n, err := store.Prune(ctx, now-r.Retain.Microseconds(), pruneBatch)
		if err != nil {
			return err
		}
		if n < pruneBatch {
			break
		}
	}
	for r.MaxRecords > 0 {
		size, err := store.Size(ctx)
		if err != nil || size <= r.MaxRecords {
			return err
		}
		n, err := store.Prune(ctx, now, int(min(size-r.MaxRecords, pruneBatch)))
		if err != nil || n == 0 {
			return err
		}
	}
	return nil
}
