// Package sqlite implements record.Store in a SQLite file, with a write-ahead log, a single writer, and fencing by
// an epoch.
//
// Open locks the file for the lifetime of the Store, migrates its schema, and takes the next epoch of the
// instance. Options.ReadOnly opens a file without the lock and without an epoch, for operator commands.
package sqlite

import (
	"context"
	"database/sql"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"os"
	"strings"
	"time"

	_ "modernc.org/sqlite" // the driver, without cgo

	"granitewing/internal/record"
)

// Options configure a store.
type Options struct {
	Path     string
	Instance string           // name of the dispatcher
	Busy     time.Duration    // longest wait of a write for another program's lock; 0 = 1 s
	Now      func() time.Time // nil = the system clock
	ReadOnly bool             // for operator commands: takes no lock and no epoch, and writes only if Writable is set
	Writable bool             // with ReadOnly: an operator may settle and prune records
}

// Store is an open file. It implements record.Store.
type Store struct {
	db      *sql.DB
	options Options
	epoch   uint32
	lock    *os.File
}

// migrations contains the statements that lead from each schema version to the next. They are applied in order,
// each in its own transaction. A released migration is never changed; new ones are appended.
var migrations = []string{
	`CREATE TABLE instances (name TEXT PRIMARY KEY, epoch INTEGER NOT NULL, started INTEGER NOT NULL) STRICT;
	 CREATE TABLE records (instance TEXT NOT NULL, id INTEGER NOT NULL, step INTEGER NOT NULL, name TEXT NOT NULL, key TEXT NOT NULL,
	  class TEXT NOT NULL, policy TEXT NOT NULL, taken INTEGER NOT NULL, deadline INTEGER NOT NULL, attempts TEXT NOT NULL,
	  verdict TEXT NOT NULL, answered INTEGER NOT NULL, content BLOB, note TEXT NOT NULL, PRIMARY KEY (instance, id)) STRICT, WITHOUT ROWID`,
	`CREATE INDEX records_open ON records (instance, id) WHERE verdict = 'open';
	 CREATE INDEX records_keyed ON records (answered) WHERE verdict = 'served' AND key <> ''`,
	`CREATE INDEX records_answered ON records (answered) WHERE verdict <> 'open';
	 CREATE INDEX records_name ON records (name)`,
}

// Version is the schema version that this build writes.
var Version = len(migrations)

// Open opens or creates a file and takes the next epoch of the instance. If the file is unusable, the error states
// the reason in one line: locked by another process, corrupt, read-only, or with a newer schema.
func Open(ctx context.Context, o Options) (*Store, error) {
	if o.Busy == 0 {
		o.Busy = time.Second
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.ReadOnly {
		if _, err := os.Stat(o.Path); err != nil {
			return nil, fmt.Errorf("store %s: %w", o.Path, err)
		}
	}
	s := &Store{options: o}
	if !o.ReadOnly {
		if err := s.acquireLock(); err != nil {
			return nil, err
		}
	}
	// synchronous=FULL syncs the write-ahead log at each commit. NORMAL would lose the last commits in a power
	// failure, which a record that must be durable does not allow.
	q := url.Values{"_pragma": {fmt.Sprintf("busy_timeout(%d)", o.Busy.Milliseconds()), "journal_mode(WAL)", "synchronous(FULL)", "foreign_keys(1)",
		"wal_autocheckpoint(2000)", "journal_size_limit(67108864)"}, "_txlock": {"immediate"}}
	if o.ReadOnly && !o.Writable {
		q = url.Values{"mode": {"ro"}, "_pragma": {fmt.Sprintf("busy_timeout(%d)", o.Busy.Milliseconds()), "query_only(1)"}}
	}
	db, err := sql.Open("sqlite", "file:"+(&url.URL{Path: o.Path}).EscapedPath()+"?"+q.Encode())
	if err != nil {
		return nil, s.wrapError(err)
	}
	s.db = db
	// SQLite allows one writer beside the readers; more connections would only wait for each other.
	db.SetMaxOpenConns(4)
	if err := s.prepare(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// wrapError adds the path of the store and, for known errors, a description for operators.
func (s *Store) wrapError(err error) error {
	text := err.Error()
	why := ""
	switch {
	case strings.Contains(text, "not a database"), strings.Contains(text, "malformed"):
		why = "is corrupt or not a store; restore a backup, or move it away to create a new one"
	case strings.Contains(text, "database is locked"), strings.Contains(text, "SQLITE_BUSY"):
		why = "is locked by another program"
	case strings.Contains(text, "readonly"):
		why = "can't be written; check the permissions of the file and its directory"
	case strings.Contains(text, "unable to open"):
		why = "can't be opened; check that the folder is there and may be written"
	case strings.Contains(text, "disk is full"):
		why = "has no space left on its disk"
	}
	if why == "" {
		return fmt.Errorf("store %s: %w", s.options.Path, err)
	}
	return fmt.Errorf("store %s %s: %w", s.options.Path, why, err)
}

func (s *Store) prepare(ctx context.Context) error {
	var version int
	if err := s.db.QueryRowContext(ctx, "PRAGMA user_version").Scan(&version); err != nil {
		return s.wrapError(err)
	}
	if version > Version {
		return fmt.Errorf("store %s has schema version %d, this build supports up to %d: it was written by a newer granitewing, run that one", s.options.Path, version, Version)
	}
	if s.options.ReadOnly {
		if version < Version {
			return fmt.Errorf("store %s has schema version %d, this build reads %d: start the dispatcher once to migrate it", s.options.Path, version, Version)
		}
		return nil
	}
	var check string
	if err := s.db.QueryRowContext(ctx, "PRAGMA quick_check(1)").Scan(&check); err != nil {
		return s.wrapError(err)
	}
	if check != "ok" {
		return fmt.Errorf("store %s is corrupt (%s); restore a backup, or move it away to create a new one", s.options.Path, check)
	}
	for v := version; v < Version; v++ {
		if err := s.migrate(ctx, v); err != nil {
			return s.wrapError(fmt.Errorf("migration to schema version %d: %w", v+1, err))
		}
	}
	now := s.options.Now()
	err := s.db.QueryRowContext(ctx, `INSERT INTO instances VALUES (?, ?, ?) ON CONFLICT (name) DO UPDATE SET
		epoch = CASE WHEN epoch >= excluded.epoch THEN epoch + 1 ELSE excluded.epoch END, started = excluded.started
		RETURNING epoch`, s.options.Instance, record.EpochAt(now), now.UnixMicro()).Scan(&s.epoch)
	if err != nil {
		return s.wrapError(err)
	}
	return nil
}

// migrate brings the schema from version v to v+1 in one transaction.
func (s *Store) migrate(ctx context.Context, v int) error {
	tx, err := s.db.BeginTx(ctx, nil)
	if err != nil {
		return err
	}
	defer tx.Rollback()
	if _, err := tx.ExecContext(ctx, migrations[v]); err != nil {
		return err
	}
	if _, err := tx.ExecContext(ctx, fmt.Sprintf("PRAGMA user_version = %d", v+1)); err != nil {
		return err
	}
	return tx.Commit()
}

// Epoch implements record.Store.
func (s *Store) Epoch() uint32 { return s.epoch }

// Close implements record.Store.
func (s *Store) Close() error {
	var err error
	if s.db != nil {
		err = s.db.Close()
	}
	s.releaseLock()
	return err
}

const upsert = `INSERT INTO records VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?) ON CONFLICT (instance, id) DO UPDATE SET
 step = excluded.step, attempts = excluded.attempts, verdict = excluded.verdict, answered = excluded.answered, content = excluded.content,
 note = excluded.note, deadline = excluded.deadline WHERE excluded.step > step`

// Write implements record.Store.
func (s *Store) Write(ctx context.Context, batch []record.Record) error {
	tx, err := s.db.BeginTx(ctx, nil)
	if err != nil {
		return s.wrapError(err)
	}
	defer tx.Rollback()
	if !s.options.ReadOnly {
		var epoch uint32
		if err := tx.QueryRowContext(ctx, "SELECT epoch FROM instances WHERE name = ?", s.options.Instance).Scan(&epoch); err != nil {
			return s.wrapError(err)
		}
		if epoch != s.epoch {
			return record.ErrFenced
		}
	}
	stmt, err := tx.PrepareContext(ctx, upsert)
	if err != nil {
		return s.wrapError(err)
	}
	defer stmt.Close()
	for i := range batch {
		r := &batch[i]
		attempts, err := json.Marshal(r.Attempts)
		if err != nil {
			return err
		}
		if _, err := stmt.ExecContext(ctx, s.options.Instance, int64(r.ID), r.Step, r.Name, r.Key, r.Class, r.Policy, r.Taken, r.Deadline,
			string(attempts), r.Verdict.String(), r.Answered, r.Content, r.Note); err != nil {
			return s.wrapError(err)
		}
	}
	if err := tx.Commit(); err != nil {
		return s.wrapError(err)
	}
	return nil
}

const columns = "instance, id, step, name, key, class, policy, taken, deadline, attempts, verdict, answered, content, note"

// scan reads one row.
func scan(rows *sql.Rows) (instance string, r record.Record, err error) {
	var id int64
	var attempts, verdict string
	err = rows.Scan(&instance, &id, &r.Step, &r.Name, &r.Key, &r.Class, &r.Policy, &r.Taken, &r.Deadline, &attempts, &verdict, &r.Answered, &r.Content, &r.Note)
	if err != nil {
		return instance, r, err
	}
	r.ID = uint64(id)
	var known bool
	if r.Verdict, known = record.ParseVerdict(verdict); !known {
		return instance, r, fmt.Errorf("record %d of %s has the unknown verdict %q", r.ID, instance, verdict)
	}
	if err := json.Unmarshal([]byte(attempts), &r.Attempts); err != nil {
		return instance, r, fmt.Errorf("record %d of %s has unreadable attempts: %w", r.ID, instance, err)
	}
	return instance, r, nil
}

func (s *Store) queryRecords(ctx context.Context, f func(string, record.Record) error, query string, args ...any) error {
	rows, err := s.db.QueryContext(ctx, query, args...)
	if err != nil {
		return s.wrapError(err)
	}
	defer rows.Close()
	for rows.Next() {
		instance, r, err := scan(rows)
		if err != nil {
			return err
		}
		if err := f(instance, r); err != nil {
			return err
		}
	}
	return rows.Err()
}

// OpenRecords implements record.Store.
func (s *Store) OpenRecords(ctx context.Context, limit int) ([]record.Record, error) {
	var out []record.Record
	err := s.queryRecords(ctx, func(_ string, r record.Record) error {
		out = append(out, r)
		return nil
	}, "SELECT "+columns+" FROM records WHERE instance = ? AND verdict = 'open' AND id < ? ORDER BY id LIMIT ?", s.options.Instance, int64(s.epoch)<<32, limit)
	return out, err
}

// Keyed implements record.Store.
func (s *Store) Keyed(ctx context.Context, since int64, f func(class, key string, content []byte, answered int64)) error {
	rows, err := s.db.QueryContext(ctx, "SELECT class, key, content, answered FROM records WHERE verdict = 'served' AND key <> '' AND answered >= ? ORDER BY answered", since)
	if err != nil {
		return s.wrapError(err)
	}
	defer rows.Close()
	for rows.Next() {
		var class, key string
		var content []byte
		var answered int64
		if err := rows.Scan(&class, &key, &content, &answered); err != nil {
			return err
		}
		f(class, key, content, answered)
	}
	return rows.Err()
}

// Query implements record.Store.
func (s *Store) Query(ctx context.Context, q record.Query, f func(string, record.Record) error) error {
	var where []string
	var args []any
	add := func(condition string, value any) {
		where, args = append(where, condition), append(args, value)
	}
	for condition, value := range map[string]string{"instance = ?": q.Instance, "class = ?": q.Class, "verdict = ?": q.Verdict, "name = ?": q.Name} {
		if value != "" {
			add(condition, value)
		}
	}
	if q.Since > 0 {
		add("taken >= ?", q.Since)
	}
	if q.Until > 0 {
		add("taken < ?", q.Until)
	}
	query := "SELECT " + columns + " FROM records"
	if len(where) > 0 {
		query += " WHERE " + strings.Join(where, " AND ")
	}
	query += " ORDER BY instance, id"
	if q.Limit > 0 {
		query += " LIMIT ?"
		args = append(args, q.Limit)
	}
	return s.queryRecords(ctx, f, query, args...)
}

// Prune implements record.Store. It deletes records of all instances.
func (s *Store) Prune(ctx context.Context, before int64, limit int) (int, error) {
	if s.options.ReadOnly && !s.options.Writable {
		return 0, errors.New("the store was opened read-only")
	}
	res, err := s.db.ExecContext(ctx, `DELETE FROM records WHERE (instance, id) IN
		(SELECT instance, id FROM records WHERE verdict <> 'open' AND answered < ? ORDER BY answered LIMIT ?)`, before, limit)
	if err != nil {
		return 0, s.wrapError(err)
	}
	n, err := res.RowsAffected()
	return int(n), err
}

// Size implements record.Store.
func (s *Store) Size(ctx context.Context) (n int64, err error) {
	err = s.db.QueryRowContext(ctx, "SELECT count(*) FROM records").Scan(&n)
	return n, err
}

// Checkpoint copies the write-ahead log into the database file, so that the file is complete without the log.
func (s *Store) Checkpoint(ctx context.Context) error {
	_, err := s.db.ExecContext(ctx, "PRAGMA wal_checkpoint(TRUNCATE)")
	return err
}
