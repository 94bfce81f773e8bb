// Package postgres implements record.Store in a PostgreSQL database. Several dispatchers may share a database:
// each writes records under its own instance name, fenced by an epoch.
//
// Open connects, migrates the schema, and takes the next epoch of the instance. Options.ReadOnly opens a database
// without an epoch, for operator commands.
package postgres

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgxpool"

	"granitewing/internal/record"
)

// Options configure a store.
type Options struct {
	URL       string        // postgres://user@host/database?sslmode=verify-full and similar, in libpq's syntax
	Instance  string        // name of the dispatcher
	Statement time.Duration // statement_timeout: the server cancels statements that take longer; 0 = 10 s
	ReadOnly  bool          // for operator commands: takes no epoch
	Writable  bool          // with ReadOnly: an operator may prune records
}

// Store is a pool of connections to a database. It implements record.Store.
type Store struct {
	pool    *pgxpool.Pool
	options Options
	epoch   uint32
}

// maxPoolConns allows one connection for writes, and the others for reads and retention.
const maxPoolConns = 3

// connectTimeout limits the time to establish a connection.
const connectTimeout = 5 * time.Second

// schemaLock is the key of the advisory lock held during a migration, so that two dispatchers that start at the
// same time do not migrate concurrently.
const schemaLock = 7_203_771_193

// migrations contains the statements that lead from each schema version to the next, each version in its own
// transaction. A released migration is never changed; new ones are appended.
var migrations = [][]string{
	{
		`CREATE TABLE granitewing_instances (name TEXT PRIMARY KEY, epoch BIGINT NOT NULL, started BIGINT NOT NULL)`,
		`CREATE TABLE granitewing_records (instance TEXT NOT NULL, id BIGINT NOT NULL, step BIGINT NOT NULL, name TEXT NOT NULL, key TEXT NOT NULL,
		 class TEXT NOT NULL, policy TEXT NOT NULL, taken BIGINT NOT NULL, deadline BIGINT NOT NULL, attempts TEXT NOT NULL,
		 verdict TEXT NOT NULL, answered BIGINT NOT NULL, content BYTEA, note TEXT NOT NULL, PRIMARY KEY (instance, id))`,
	},
	{
		`CREATE INDEX granitewing_records_open ON granitewing_records (instance, id) WHERE verdict = 'open'`,
		`CREATE INDEX granitewing_records_keyed ON granitewing_records (answered) WHERE verdict = 'served' AND key <> ''`,
	},
	{
		`CREATE INDEX granitewing_records_answered ON granitewing_records (answered) WHERE verdict <> 'open'`,
		`CREATE INDEX granitewing_records_name ON granitewing_records (name)`,
	},
}

// Version is the schema version that this build writes.
var Version = len(migrations)

// Open connects to the database, migrates its schema, and takes the next epoch of the instance. Errors do not
// contain the password.
func Open(ctx context.Context, o Options) (*Store, error) {
	cfg, err := pgxpool.ParseConfig(o.URL)
	if err != nil {
		return nil, fmt.Errorf("store: can't parse the PostgreSQL URL: %w", redactParseError(err))
	}
	if o.Statement == 0 {
		o.Statement = 10 * time.Second
	}
	cfg.MaxConns = maxPoolConns
	cfg.ConnConfig.ConnectTimeout = connectTimeout
	cfg.ConnConfig.RuntimeParams["application_name"] = "granitewing " + o.Instance
	cfg.ConnConfig.RuntimeParams["statement_timeout"] = fmt.Sprint(o.Statement.Milliseconds())
	pool, err := pgxpool.NewWithConfig(ctx, cfg)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	s := &Store{pool: pool, options: o}
	if err := s.prepare(ctx); err != nil {
		s.Close()
		return nil, s.wrapError(err)
	}
	return s, nil
}

// redactParseError keeps passwords out of errors.
func redactParseError(err error) error {
	var parse *pgconn.ParseConfigError
	if errors.As(err, &parse) {
		return errors.New("want postgres://user@host:port/database?sslmode=…")
	}
	return err
}

// wrapError adds the address of the database and, for known SQLSTATE codes, a description for operators.
func (s *Store) wrapError(err error) error {
	c := s.pool.Config().ConnConfig
	where := fmt.Sprintf("store %s:%d/%s", c.Host, c.Port, c.Database)
	var pg *pgconn.PgError
	if errors.As(err, &pg) {
		if why := map[string]string{
			"53100": "has no space left on its disk", "53300": "has no free connection", "57P03": "is starting up", "28P01": "refused the password",
			"28000": "refused the user", "3D000": "does not exist", "25006": "is read-only", "42501": "denies this user a required privilege",
			"40001": "reported a serialization conflict between writers", "57014": "cancelled a statement that took too long",
		}[pg.Code]; why != "" {
			return fmt.Errorf("%s %s: %w", where, why, err)
		}
	}
	return fmt.Errorf("%s: %w", where, err)
}

func (s *Store) prepare(ctx context.Context) error {
	if _, err := s.pool.Exec(ctx, "CREATE TABLE IF NOT EXISTS granitewing_schema (version BIGINT NOT NULL)"); err != nil && !s.options.ReadOnly {
		return err
	}
	for {
		done, err := s.migrate(ctx)
		if err != nil {
			return err
		}
		if done {
			break
		}
	}
	if s.options.ReadOnly {
		return nil
	}
	var epoch int64
	now := time.Now()
	err := s.pool.QueryRow(ctx, `INSERT INTO granitewing_instances (name, epoch, started) VALUES ($1::text, $2::bigint, $3::bigint)
		ON CONFLICT (name) DO UPDATE SET epoch = CASE WHEN granitewing_instances.epoch >= excluded.epoch THEN granitewing_instances.epoch + 1
		ELSE excluded.epoch END, started = excluded.started RETURNING epoch`, s.options.Instance, record.EpochAt(now), now.UnixMicro()).Scan(&epoch)
	s.epoch = uint32(epoch)
	return err
}

// migrate brings the schema up by one version in one transaction. done reports whether the schema is at the
// version of this build.
func (s *Store) migrate(ctx context.Context) (done bool, err error) {
	err = pgx.BeginFunc(ctx, s.pool, func(tx pgx.Tx) error {
		if _, err := tx.Exec(ctx, "SELECT pg_advisory_xact_lock($1::bigint)", int64(schemaLock)); err != nil {
			return err
		}
		var version int64
		if err := tx.QueryRow(ctx, "SELECT coalesce(max(version), 0) AS version FROM granitewing_schema").Scan(&version); err != nil {
			return err
		}
		switch {
		case int(version) > Version:
			return fmt.Errorf("schema version %d, this build supports up to %d: it was written by a newer granitewing, run that one", version, Version)
		case int(version) == Version:
			done = true
			return nil
		case s.options.ReadOnly:
			return fmt.Errorf("schema version %d, this build reads %d: start the dispatcher once to migrate it", version, Version)
		}
		for _, statement := range migrations[version] {
			if _, err := tx.Exec(ctx, statement); err != nil {
				return fmt.Errorf("migration to schema version %d: %w", version+1, err)
			}
		}
		_, err := tx.Exec(ctx, "INSERT INTO granitewing_schema (version) VALUES ($1::bigint)", version+1)
		return err
	})
	return done, err
}

// Epoch implements record.Store.
func (s *Store) Epoch() uint32 { return s.epoch }

// Close implements record.Store.
func (s *Store) Close() error {
	s.pool.Close()
	return nil
}

const upsert = `INSERT INTO granitewing_records (instance, id, step, name, key, class, policy, taken, deadline, attempts, verdict, answered, content, note)
 VALUES ($1::text, $2::bigint, $3::bigint, $4::text, $5::text, $6::text, $7::text, $8::bigint, $9::bigint, $10::text, $11::text, $12::bigint, $13::bytea, $14::text)
 ON CONFLICT (instance, id) DO UPDATE SET step = excluded.step, attempts = excluded.attempts, verdict = excluded.verdict, answered = excluded.answered,
 content = excluded.content, note = excluded.note, deadline = excluded.deadline WHERE excluded.step > granitewing_records.step`

// Write implements record.Store. The whole transaction is sent in one round trip, and its first statement is the
// fence: it locks the row of the instance until the commit, so a newer start either waits for this write or is
// seen by it.
func (s *Store) Write(ctx context.Context, batch []record.Record) error {
	err := pgx.BeginFunc(ctx, s.pool, func(tx pgx.Tx) error {
		b := &pgx.Batch{}
		fenced := true
		if !s.options.ReadOnly {
			b.Queue("UPDATE granitewing_instances SET epoch = epoch WHERE name = $1::text AND epoch = $2::bigint", s.options.Instance, int64(s.epoch)).Exec(func(tag pgconn.CommandTag) error {
				fenced = tag.RowsAffected() == 0
				return nil
			})
		} else {
			fenced = false
		}
		for i := range batch {
			r := &batch[i]
			attempts, err := json.Marshal(r.Attempts)
			if err != nil {
				return err
			}
			b.Queue(upsert, s.options.Instance, int64(r.ID), int64(r.Step), r.Name, r.Key, r.Class, r.Policy, r.Taken, r.Deadline, string(attempts), r.Verdict.String(),
				r.Answered, r.Content, r.Note)
		}
		if err := tx.SendBatch(ctx, b).Close(); err != nil {
			return err
		}
		if fenced {
			return record.ErrFenced
		}
		return nil
	})
	if err == nil || errors.Is(err, record.ErrFenced) {
		return err
	}
	return s.wrapError(err)
}

const columns = "instance, id, step, name, key, class, policy, taken, deadline, attempts, verdict, answered, content, note"

func (s *Store) queryRecords(ctx context.Context, f func(string, record.Record) error, query string, args ...any) error {
	rows, err := s.pool.Query(ctx, query, args...)
	if err != nil {
		return s.wrapError(err)
	}
	defer rows.Close()
	for rows.Next() {
		var instance, attempts, verdict string
		var id, step int64
		var r record.Record
		if err := rows.Scan(&instance, &id, &step, &r.Name, &r.Key, &r.Class, &r.Policy, &r.Taken, &r.Deadline, &attempts, &verdict, &r.Answered, &r.Content, &r.Note); err != nil {
			return s.wrapError(err)
		}
		r.ID, r.Step = uint64(id), uint32(step)
		var known bool
		if r.Verdict, known = record.ParseVerdict(verdict); !known {
			return fmt.Errorf("record %d of %s has the unknown verdict %q", r.ID, instance, verdict)
		}
		if err := json.Unmarshal([]byte(attempts), &r.Attempts); err != nil {
			return fmt.Errorf("record %d of %s has unreadable attempts: %w", r.ID, instance, err)
		}
		if err := f(instance, r); err != nil {
			return err
		}
	}
	if err := rows.Err(); err != nil {
		return s.wrapError(err)
	}
	return nil
}

// OpenRecords implements record.Store.
func (s *Store) OpenRecords(ctx context.Context, limit int) ([]record.Record, error) {
	var out []record.Record
	err := s.queryRecords(ctx, func(_ string, r record.Record) error {
		out = append(out, r)
		return nil
	}, "SELECT "+columns+" FROM granitewing_records WHERE instance = $1::text AND verdict = 'open' AND id < $2::bigint ORDER BY id LIMIT $3::bigint",
		s.options.Instance, int64(s.epoch)<<32, int64(limit))
	return out, err
}

// Keyed implements record.Store. A repeat may arrive at any dispatcher, so it includes the results of all
// instances.
func (s *Store) Keyed(ctx context.Context, since int64, f func(class, key string, content []byte, answered int64)) error {
	return s.queryRecords(ctx, func(_ string, r record.Record) error {
		f(r.Class, r.Key, r.Content, r.Answered)
		return nil
	}, "SELECT "+columns+" FROM granitewing_records WHERE verdict = 'served' AND key <> '' AND answered >= $1::bigint ORDER BY answered", since)
}

// Query implements record.Store.
func (s *Store) Query(ctx context.Context, q record.Query, f func(string, record.Record) error) error {
	var where []string
	var args []any
	add := func(column, operator, kind string, value any) {
		args = append(args, value)
		where = append(where, fmt.Sprintf("%s %s $%d::%s", column, operator, len(args), kind))
	}
	for _, c := range []struct{ column, value string }{{"instance", q.Instance}, {"class", q.Class}, {"verdict", q.Verdict}, {"name", q.Name}} {
		if c.value != "" {
			add(c.column, "=", "text", c.value)
		}
	}
	if q.Since > 0 {
		add("taken", ">=", "bigint", q.Since)
	}
	if q.Until > 0 {
		add("taken", "<", "bigint", q.Until)
	}
	query := "SELECT " + columns + " FROM granitewing_records"
	if len(where) > 0 {
		query += " WHERE " + strings.Join(where, " AND ")
	}
	query += " ORDER BY instance, id"
	if q.Limit > 0 {
		args = append(args, int64(q.Limit))
		query += fmt.Sprintf(" LIMIT $%d::bigint", len(args))
	}
	return s.queryRecords(ctx, f, query, args...)
}

// Prune implements record.Store. A serving dispatcher prunes only its own records.
func (s *Store) Prune(ctx context.Context, before int64, limit int) (int, error) {
	if s.options.ReadOnly && !s.options.Writable {
		return 0, errors.New("the store was opened read-only")
	}
	own := ""
	args := []any{before, int64(limit)}
	if !s.options.ReadOnly {
		own = " AND instance = $3::text"
		args = append(args, s.options.Instance)
	}
	tag, err := s.pool.Exec(ctx, `DELETE FROM granitewing_records WHERE (instance, id) IN (SELECT instance, id FROM granitewing_records
		WHERE verdict <> 'open' AND answered < $1::bigint`+own+` ORDER BY answered LIMIT $2::bigint)`, args...)
	if err != nil {
		return 0, s.wrapError(err)
	}
	return int(tag.RowsAffected()), nil
}

// Size implements record.Store.
func (s *Store) Size(ctx context.Context) (n int64, err error) {
	if err := s.pool.QueryRow(ctx, "SELECT count(*) AS n FROM granitewing_records").Scan(&n); err != nil {
		return 0, s.wrapError(err)
	}
	return n, nil
}
