// Package pgstandin stands in for a PostgreSQL server: enough of its published protocol (version 3) for pgx to work
// against it, over rows in SQLite, with failures on command. It is for tests and the laboratory alone.
package pgstandin

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"net"
	"regexp"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
	_ "modernc.org/sqlite" // holds the rows
)

// Faults are what goes wrong until they are set anew.
type Faults struct {
	Delay       time.Duration // before each answer
	Silent      bool          // nothing is answered, nothing read
	ResetBefore int           // so many commits end in a reset and are not done
	ResetAfter  int           // so many commits are done and end in a reset: the client can't tell
	Serialize   int           // so many commits fail with SQLSTATE 40001
	DiskFull    int           // so many inserts fail with 53100
	Refuse      bool          // new connections are refused with 53300
}

// Server is a running stand-in.
type Server struct {
	ln    net.Listener
	db    *sql.DB
	types *pgtype.Map

	mu      sync.Mutex
	faults  Faults
	changed chan struct{} // closed when the faults are set
	conns   map[net.Conn]struct{}
	commits int
	wait    sync.WaitGroup
	closed  bool
}

// Start starts a server whose rows are in a file.
func Start(path string) (*Server, error) {
	db, err := sql.Open("sqlite", "file:"+path+"?_pragma=busy_timeout(5000)&_pragma=journal_mode(WAL)&_pragma=synchronous(NORMAL)")
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		db.Close()
		return nil, err
	}
	s := &Server{ln: ln, db: db, types: pgtype.NewMap(), changed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	s.wait.Go(s.accept)
	return s, nil
}

// URL is what a client connects to.
func (s *Server) URL() string {
	return "postgres://keeper@" + s.ln.Addr().String() + "/granitewing?sslmode=disable"
}

// Set sets the faults from now on.
func (s *Server) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

// Commits counts the transactions that were done.
func (s *Server) Commits() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commits
}

// Drop resets all connections.
func (s *Server) Drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		reset(c)
	}
}

// Close ends the server.
func (s *Server) Close() {
	s.ln.Close()
	s.mu.Lock()
	s.closed = true
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	s.Drop()
	s.wait.Wait()
	s.db.Close()
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

func (s *Server) accept() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		s.wait.Go(func() {
			(&session{s: s, c: c, b: pgproto3.NewBackend(c, c), statements: map[string]*statement{}, portals: map[string]*portal{}}).run()
			c.Close()
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		})
	}
}

// spend uses up one of a counted fault.
func (s *Server) spend(count func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := count(&s.faults)
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// stall waits while the server is to be silent, and for the delay of an answer.
func (s *Server) stall() {
	for {
		s.mu.Lock()
		silent, delay, changed, closed := s.faults.Silent, s.faults.Delay, s.changed, s.closed
		s.mu.Unlock()
		if closed || !silent && delay == 0 {
			return
		}
		if silent {
			<-changed
			continue
		}
		t := time.NewTimer(delay)
		select {
		case <-t.C:
		case <-changed:
			t.Stop()
		}
		return
	}
}

// session is one client's connection.
type session struct {
	s          *Server
	c          net.Conn
	b          *pgproto3.Backend
	conn       *sql.Conn
	status     byte // I, T or E
	failed     bool // until the next Sync
	statements map[string]*statement
	portals    map[string]*portal
}

type statement struct {
	text   string
	params []uint32
}

type portal struct {
	*statement
	args    []any
	formats []int16
}

// errGone ends a session.
var errGone = errors.New("the connection is over")

func (x *session) run() {
	if x.startup() != nil {
		return
	}
	conn, err := x.s.db.Conn(context.Background())
	if err != nil {
		return
	}
	x.conn, x.status = conn, 'I'
	defer func() {
		if x.status != 'I' {
			conn.ExecContext(context.Background(), "ROLLBACK")
		}
		conn.Close()
	}()
	for {
		msg, err := x.b.Receive()
		if err != nil {
			return
		}
		if x.handle(msg) != nil {
			return
		}
	}
}

func (x *session) startup() error {
	for {
		msg, err := x.b.ReceiveStartupMessage()
		if err != nil {
			return err
		}
		x.s.stall()
		switch msg.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := x.c.Write([]byte("N")); err != nil {
				return err
			}
		case *pgproto3.StartupMessage:
			x.s.mu.Lock()
			refuse := x.s.faults.Refuse
			x.s.mu.Unlock()
			if refuse {
				x.b.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "53300", Message: "sorry, too many clients already"})
				x.b.Flush()
				return errGone
			}
			x.b.Send(&pgproto3.AuthenticationOk{})
			for name, value := range map[string]string{"server_version": "16.0", "client_encoding": "UTF8", "standard_conforming_strings": "on", "integer_datetimes": "on"} {
				x.b.Send(&pgproto3.ParameterStatus{Name: name, Value: value})
			}
			x.b.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{0, 0, 0, 1}})
			x.b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
			return x.b.Flush()
		default: // a request to cancel; statements here are short
			return errGone
		}
	}
}

// handle answers one message; an error ends the session.
func (x *session) handle(msg pgproto3.FrontendMessage) error {
	if x.failed {
		// After an error all is skipped up to the next Sync.
		if _, sync := msg.(*pgproto3.Sync); !sync {
			return nil
		}
	}
	var err error
	switch m := msg.(type) {
	case *pgproto3.Query:
		err = x.execute(&portal{statement: &statement{text: m.String}}, true)
		if e := x.report(err); e != nil {
			return e
		}
		x.failed = false
		return x.ready()
	case *pgproto3.Parse:
		x.statements[m.Name] = &statement{m.Query, paramTypes(m.Query, m.ParameterOIDs)}
		x.b.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Describe:
		err = x.describe(m)
	case *pgproto3.Bind:
		err = x.bind(m)
	case *pgproto3.Execute:
		if p := x.portals[m.Portal]; p != nil {
			err = x.execute(p, false)
		}
	case *pgproto3.Close:
		delete(x.statements, m.Name)
		x.b.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Flush:
		return x.b.Flush()
	case *pgproto3.Sync:
		x.failed = false
		return x.ready()
	case *pgproto3.Terminate:
		return errGone
	}
	return x.report(err)
}

func (x *session) ready() error {
	x.s.stall()
	x.b.Send(&pgproto3.ReadyForQuery{TxStatus: x.status})
	return x.b.Flush()
}

// sqlError is an error with its SQLSTATE.
type sqlError struct{ code, text string }

func (e *sqlError) Error() string { return e.text }

// report sends an error to the client; errGone is passed on.
func (x *session) report(err error) error {
	if err == nil || errors.Is(err, errGone) {
		return err
	}
	code := "XX000"
	var e *sqlError
	if errors.As(err, &e) {
		code = e.code
	}
	x.b.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: err.Error()})
	x.failed = true
	if x.status == 'T' {
		x.status = 'E'
	}
	return nil
}

var (
	casts  = regexp.MustCompile(`\$(\d+)::(\w+)`)
	spaces = regexp.MustCompile(`\s+`)
	oids   = map[string]uint32{"text": pgtype.TextOID, "bigint": pgtype.Int8OID, "bytea": pgtype.ByteaOID}
	// What the columns of the store's queries are; all others are texts.
	columns = map[string]uint32{"id": pgtype.Int8OID, "step": pgtype.Int8OID, "taken": pgtype.Int8OID, "deadline": pgtype.Int8OID, "answered": pgtype.Int8OID,
		"epoch": pgtype.Int8OID, "started": pgtype.Int8OID, "version": pgtype.Int8OID, "n": pgtype.Int8OID, "content": pgtype.ByteaOID}
)

// paramTypes finds the types of a query's parameters from their casts.
func paramTypes(text string, given []uint32) []uint32 {
	out := append([]uint32(nil), given...)
	for _, m := range casts.FindAllStringSubmatch(text, -1) {
		var n int
		fmt.Sscan(m[1], &n)
		for len(out) < n {
			out = append(out, pgtype.TextOID)
		}
		out[n-1] = oids[m[2]]
	}
	return out
}

// translate brings a statement into SQLite's words.
func translate(text string) string {
	text = casts.ReplaceAllString(text, "?$1")
	return strings.TrimSpace(spaces.ReplaceAllString(text, " "))
}

// returns tells whether a statement gives rows.
func returns(text string) bool {
	upper := strings.ToUpper(strings.TrimSpace(text))
	return strings.HasPrefix(upper, "SELECT") || strings.Contains(upper, " RETURNING ")
}

func (x *session) describe(m *pgproto3.Describe) error {
	st := x.statements[m.Name]
	if m.ObjectType == 'P' {
		if p := x.portals[m.Name]; p != nil {
			st = p.statement
		}
	} else if st != nil {
		x.b.Send(&pgproto3.ParameterDescription{ParameterOIDs: st.params})
	}
	if st == nil {
		return &sqlError{"26000", "no such statement"}
	}
	if !returns(st.text) {
		x.b.Send(&pgproto3.NoData{})
		return nil
	}
	fields, err := x.fields(st, nil)
	if err != nil {
		return err
	}
	x.b.Send(&pgproto3.RowDescription{Fields: fields})
	return nil
}

// names gives a query's columns without running it.
func (x *session) fields(st *statement, formats []int16) ([]pgproto3.FieldDescription, error) {
	if strings.Contains(st.text, "pg_advisory_xact_lock") {
		return []pgproto3.FieldDescription{{Name: []byte("lock"), DataTypeOID: pgtype.TextOID, DataTypeSize: -1, TypeModifier: -1}}, nil
	}
	var names []string
	if i := strings.Index(strings.ToUpper(st.text), " RETURNING "); i >= 0 {
		names = strings.Split(st.text[i+len(" RETURNING "):], ",")
	} else {
		args := make([]any, len(st.params))
		rows, err := x.conn.QueryContext(context.Background(), "SELECT * FROM ("+translate(st.text)+") LIMIT 0", args...)
		if err != nil {
			return nil, err
		}
		defer rows.Close()
		if names, err = rows.Columns(); err != nil {
			return nil, err
		}
	}
	out := make([]pgproto3.FieldDescription, len(names))
	for i, n := range names {
		oid := columns[strings.TrimSpace(n)]
		if oid == 0 {
			oid = pgtype.TextOID
		}
		out[i] = pgproto3.FieldDescription{Name: []byte(strings.TrimSpace(n)), DataTypeOID: oid, DataTypeSize: -1, TypeModifier: -1, Format: format(formats, i)}
	}
	return out, nil
}

func format(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return 0
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}
	return 0
}

func (x *session) bind(m *pgproto3.Bind) error {
	st := x.statements[m.PreparedStatement]
	if st == nil {
		return &sqlError{"26000", "no such statement"}
	}
	p := &portal{statement: st, formats: m.ResultFormatCodes}
	for i, raw := range m.Parameters {
		oid := uint32(pgtype.TextOID)
		if i < len(st.params) {
			oid = st.params[i]
		}
		var v any
		if raw != nil {
			switch oid {
			case pgtype.Int8OID:
				var n int64
				if err := x.s.types.Scan(oid, format(m.ParameterFormatCodes, i), raw, &n); err != nil {
					return &sqlError{"22P02", err.Error()}
				}
				v = n
			case pgtype.ByteaOID:
				var b []byte
				if err := x.s.types.Scan(oid, format(m.ParameterFormatCodes, i), raw, &b); err != nil {
					return &sqlError{"22P02", err.Error()}
				}
				v = append([]byte{}, b...)
			default:
				v = string(raw)
			}
		}
		p.args = append(p.args, v)
	}
	x.portals[m.DestinationPortal] = p
	x.b.Send(&pgproto3.BindComplete{})
	return nil
}

// execute runs a statement and sends its rows and its end.
func (x *session) execute(p *portal, simple bool) error {
	text := translate(p.text)
	words := strings.Fields(strings.ToUpper(strings.TrimSuffix(text, ";")))
	if len(words) == 0 {
		x.b.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if x.status == 'E' && words[0] != "ROLLBACK" && words[0] != "COMMIT" {
		return &sqlError{"25P02", "current transaction is aborted"}
	}
	done := func(tag string) error {
		x.b.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
		return nil
	}
	ctx := context.Background()
	switch {
	case strings.HasPrefix(text, "--"): // a ping
		x.b.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	case words[0] == "BEGIN":
		if _, err := x.conn.ExecContext(ctx, "BEGIN IMMEDIATE"); err != nil {
			return &sqlError{"55P03", err.Error()}
		}
		x.status = 'T'
		return done("BEGIN")
	case words[0] == "ROLLBACK" || words[0] == "COMMIT" && x.status == 'E':
		x.status = 'I'
		if _, err := x.conn.ExecContext(ctx, "ROLLBACK"); err != nil {
			return err
		}
		return done("ROLLBACK")
	case words[0] == "COMMIT":
		return x.commit(ctx, done)
	case strings.Contains(text, "pg_advisory_xact_lock"): // BEGIN IMMEDIATE holds all others off already
		if simple {
			return &sqlError{"0A000", "not in the simple protocol"}
		}
		x.b.Send(&pgproto3.DataRow{Values: [][]byte{{}}})
		return done("SELECT 1")
	}
	if words[0] == "INSERT" && x.s.spend(func(f *Faults) *int { return &f.DiskFull }) {
		return &sqlError{"53100", "could not extend file: No space left on device"}
	}
	if !returns(text) {
		res, err := x.conn.ExecContext(ctx, text, p.args...)
		if err != nil {
			return err
		}
		n, _ := res.RowsAffected()
		tag := fmt.Sprintf("%s %d", words[0], n)
		if words[0] == "INSERT" {
			tag = fmt.Sprintf("INSERT 0 %d", n)
		}
		return done(tag)
	}
	n, err := x.rows(ctx, text, p, simple)
	if err != nil {
		return err
	}
	return done(fmt.Sprintf("%s %d", words[0], n))
}

func (x *session) commit(ctx context.Context, done func(string) error) error {
	x.s.stall()
	if x.s.spend(func(f *Faults) *int { return &f.ResetBefore }) {
		reset(x.c)
		return errGone
	}
	if x.s.spend(func(f *Faults) *int { return &f.Serialize }) {
		x.conn.ExecContext(ctx, "ROLLBACK")
		x.status = 'I'
		return &sqlError{"40001", "could not serialize access due to concurrent update"}
	}
	x.status = 'I'
	if _, err := x.conn.ExecContext(ctx, "COMMIT"); err != nil {
		return err
	}
	x.s.mu.Lock()
	x.s.commits++
	x.s.mu.Unlock()
	if x.s.spend(func(f *Faults) *int { return &f.ResetAfter }) {
		reset(x.c)
		return errGone
	}
	return done("COMMIT")
}

// rows sends a query's rows.
func (x *session) rows(ctx context.Context, text string, p *portal, simple bool) (n int, err error) {
	fields, err := x.fields(p.statement, p.formats)
	if err != nil {
		return 0, err
	}
	if simple {
		x.b.Send(&pgproto3.RowDescription{Fields: fields})
	}
	rows, err := x.conn.QueryContext(ctx, text, p.args...)
	if err != nil {
		return 0, err
	}
	defer rows.Close()
	values := make([]any, len(fields))
	into := make([]any, len(fields))
	for i := range values {
		into[i] = &values[i]
	}
	for rows.Next() {
		if err := rows.Scan(into...); err != nil {
			return n, err
		}
		row := make([][]byte, len(fields))
		for i, v := range values {
			switch t := v.(type) {
			case nil:
				continue
			case []byte:
				if fields[i].DataTypeOID == pgtype.TextOID {
					row[i] = append([]byte{}, t...)
					continue
				}
			case string:
				if fields[i].DataTypeOID == pgtype.TextOID {
					row[i] = []byte(t)
					continue
				}
			}
			if row[i], err = x.s.types.Encode(fields[i].DataTypeOID, fields[i].Format, v, []byte{}); err != nil {
				return n, err
			}
		}
		x.b.Send(&pgproto3.DataRow{Values: row})
		n++
	}
	return n, rows.Err()
}
