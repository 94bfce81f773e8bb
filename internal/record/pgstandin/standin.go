// Package pgstandin is a stand-in for a PostgreSQL server, for tests and the laboratory only. It implements as
// much of the published protocol (version 3) as pgx needs, keeps the rows in SQLite, and injects failures on
// request.
//
// Start runs a server, Server.URL returns the address for clients, and Server.Set injects Faults.
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
	_ "modernc.org/sqlite" // stores the rows
)

// Faults are the failures that a server injects until they are set again. The counted ones apply to the next
// operations of their kind.
type Faults struct {
	Delay       time.Duration // before each answer
	Silent      bool          // the server neither answers nor reads
	ResetBefore int           // number of commits that are not executed and end in a reset
	ResetAfter  int           // number of commits that are executed and end in a reset, so the client can't know the outcome
	Serialize   int           // number of commits that fail with SQLSTATE 40001
	DiskFull    int           // number of inserts that fail with SQLSTATE 53100
	Refuse      bool          // new connections are refused with SQLSTATE 53300
}

// Server is a running stand-in.
type Server struct {
	ln    net.Listener
	db    *sql.DB
	types *pgtype.Map

	mu       sync.Mutex
	faults   Faults
	changed  chan struct{} // closed when the faults are set
	conns    map[net.Conn]struct{}
	commits  int
	handlers sync.WaitGroup
	closed   bool
}

// Start starts a server that stores its rows in the SQLite file at path. It listens on a free port of 127.0.0.1.
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
	s.handlers.Go(s.accept)
	return s, nil
}

// URL returns the connection URL for clients.
func (s *Server) URL() string {
	return "postgres://keeper@" + s.ln.Addr().String() + "/granitewing?sslmode=disable"
}

// Set replaces the faults.
func (s *Server) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

// Commits returns the number of executed commits.
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

// Close stops the server and waits for its sessions.
func (s *Server) Close() {
	s.ln.Close()
	s.mu.Lock()
	s.closed = true
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	s.Drop()
	s.handlers.Wait()
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
		s.handlers.Go(func() {
			(&session{server: s, netConn: c, backend: pgproto3.NewBackend(c, c), statements: map[string]*statement{}, portals: map[string]*portal{}}).run()
			c.Close()
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		})
	}
}

// consume uses up one of a counted fault and reports whether there was one left.
func (s *Server) consume(count func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := count(&s.faults)
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// delayAnswer blocks while the server is silent, and then for the delay before an answer.
func (s *Server) delayAnswer() {
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
	server     *Server
	netConn    net.Conn
	backend    *pgproto3.Backend
	dbConn     *sql.Conn
	txStatus   byte // I (idle), T (in a transaction) or E (in a failed transaction)
	skipToSync bool // after an error: skip messages until the next Sync
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

// errSessionEnded ends a session.
var errSessionEnded = errors.New("session ended")

func (x *session) run() {
	if x.startup() != nil {
		return
	}
	conn, err := x.server.db.Conn(context.Background())
	if err != nil {
		return
	}
	x.dbConn, x.txStatus = conn, 'I'
	defer func() {
		if x.txStatus != 'I' {
			conn.ExecContext(context.Background(), "ROLLBACK")
		}
		conn.Close()
	}()
	for {
		msg, err := x.backend.Receive()
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
		msg, err := x.backend.ReceiveStartupMessage()
		if err != nil {
			return err
		}
		x.server.delayAnswer()
		switch msg.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := x.netConn.Write([]byte("N")); err != nil {
				return err
			}
		case *pgproto3.StartupMessage:
			x.server.mu.Lock()
			refuse := x.server.faults.Refuse
			x.server.mu.Unlock()
			if refuse {
				x.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "53300", Message: "sorry, too many clients already"})
				x.backend.Flush()
				return errSessionEnded
			}
			x.backend.Send(&pgproto3.AuthenticationOk{})
			for name, value := range map[string]string{"server_version": "16.0", "client_encoding": "UTF8", "standard_conforming_strings": "on", "integer_datetimes": "on"} {
				x.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: value})
			}
			x.backend.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{0, 0, 0, 1}})
			x.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
			return x.backend.Flush()
		default: // a cancel request: not supported, since statements here are short
			return errSessionEnded
		}
	}
}

// handle processes one message; an error ends the session.
func (x *session) handle(msg pgproto3.FrontendMessage) error {
	if x.skipToSync {
		// After an error everything up to the next Sync is skipped.
		if _, sync := msg.(*pgproto3.Sync); !sync {
			return nil
		}
	}
	var err error
	switch m := msg.(type) {
	case *pgproto3.Query:
		err = x.execute(&portal{statement: &statement{text: m.String}}, true)
		if e := x.sendError(err); e != nil {
			return e
		}
		x.skipToSync = false
		return x.sendReady()
	case *pgproto3.Parse:
		x.statements[m.Name] = &statement{m.Query, paramTypes(m.Query, m.ParameterOIDs)}
		x.backend.Send(&pgproto3.ParseComplete{})
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
		x.backend.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Flush:
		return x.backend.Flush()
	case *pgproto3.Sync:
		x.skipToSync = false
		return x.sendReady()
	case *pgproto3.Terminate:
		return errSessionEnded
	}
	return x.sendError(err)
}

func (x *session) sendReady() error {
	x.server.delayAnswer()
	x.backend.Send(&pgproto3.ReadyForQuery{TxStatus: x.txStatus})
	return x.backend.Flush()
}

// sqlError is an error with its SQLSTATE.
type sqlError struct{ code, text string }

func (e *sqlError) Error() string { return e.text }

// sendError sends an error to the client. It returns errSessionEnded and sends nothing for it.
func (x *session) sendError(err error) error {
	if err == nil || errors.Is(err, errSessionEnded) {
		return err
	}
	code := "XX000"
	var e *sqlError
	if errors.As(err, &e) {
		code = e.code
	}
	x.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: err.Error()})
	x.skipToSync = true
	if x.txStatus == 'T' {
		x.txStatus = 'E'
	}
	return nil
}

var (
	castPattern       = regexp.MustCompile(`\$(\d+)::(\w+)`)
	whitespacePattern = regexp.MustCompile(`\s+`)
	typeOIDs          = map[string]uint32{"text": pgtype.TextOID, "bigint": pgtype.Int8OID, "bytea": pgtype.ByteaOID}
	// Types of the columns in the store's queries; all other columns are text.
	columnOIDs = map[string]uint32{"id": pgtype.Int8OID, "step": pgtype.Int8OID, "taken": pgtype.Int8OID, "deadline": pgtype.Int8OID, "answered": pgtype.Int8OID,
		"epoch": pgtype.Int8OID, "started": pgtype.Int8OID, "version": pgtype.Int8OID, "n": pgtype.Int8OID, "content": pgtype.ByteaOID}
)

// paramTypes determines the types of a query's parameters from their casts.
func paramTypes(text string, given []uint32) []uint32 {
	out := append([]uint32(nil), given...)
	for _, m := range castPattern.FindAllStringSubmatch(text, -1) {
		var n int
		fmt.Sscan(m[1], &n)
		for len(out) < n {
			out = append(out, pgtype.TextOID)
		}
		out[n-1] = typeOIDs[m[2]]
	}
	return out
}

// translate converts a statement to SQLite's dialect.
func translate(text string) string {
	text = castPattern.ReplaceAllString(text, "?$1")
	return strings.TrimSpace(whitespacePattern.ReplaceAllString(text, " "))
}

// returnsRows reports whether a statement returns rows.
func returnsRows(text string) bool {
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
		x.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: st.params})
	}
	if st == nil {
		return &sqlError{"26000", "no such statement"}
	}
	if !returnsRows(st.text) {
		x.backend.Send(&pgproto3.NoData{})
		return nil
	}
	fields, err := x.fieldDescriptions(st, nil)
	if err != nil {
		return err
	}
	x.backend.Send(&pgproto3.RowDescription{Fields: fields})
	return nil
}

// fieldDescriptions returns a query's columns without running it.
func (x *session) fieldDescriptions(st *statement, formats []int16) ([]pgproto3.FieldDescription, error) {
	if strings.Contains(st.text, "pg_advisory_xact_lock") {
		return []pgproto3.FieldDescription{{Name: []byte("lock"), DataTypeOID: pgtype.TextOID, DataTypeSize: -1, TypeModifier: -1}}, nil
	}
	var names []string
	if i := strings.Index(strings.ToUpper(st.text), " RETURNING "); i >= 0 {
		names = strings.Split(st.text[i+len(" RETURNING "):], ",")
	} else {
		args := make([]any, len(st.params))
		rows, err := x.dbConn.QueryContext(context.Background(), "SELECT * FROM ("+translate(st.text)+") LIMIT 0", args...)
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
		oid := columnOIDs[strings.TrimSpace(n)]
		if oid == 0 {
			oid = pgtype.TextOID
		}
		out[i] = pgproto3.FieldDescription{Name: []byte(strings.TrimSpace(n)), DataTypeOID: oid, DataTypeSize: -1, TypeModifier: -1, Format: formatCode(formats, i)}
	}
	return out, nil
}

func formatCode(formats []int16, i int) int16 {
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
				if err := x.server.types.Scan(oid, formatCode(m.ParameterFormatCodes, i), raw, &n); err != nil {
					return &sqlError{"22P02", err.Error()}
				}
				v = n
			case pgtype.ByteaOID:
				var b []byte
				if err := x.server.types.Scan(oid, formatCode(m.ParameterFormatCodes, i), raw, &b); err != nil {
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
	x.backend.Send(&pgproto3.BindComplete{})
	return nil
}

// execute runs a statement and sends its rows and its completion.
func (x *session) execute(p *portal, simple bool) error {
	text := translate(p.text)
	words := strings.Fields(strings.ToUpper(strings.TrimSuffix(text, ";")))
	if len(words) == 0 {
		x.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if x.txStatus == 'E' && words[0] != "ROLLBACK" && words[0] != "COMMIT" {
		return &sqlError{"25P02", "current transaction is aborted"}
	}
	done := func(tag string) error {
		x.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
		return nil
	}
	ctx := context.Background()
	switch {
	case strings.HasPrefix(text, "--"): // a ping
		x.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	case words[0] == "BEGIN":
		if _, err := x.dbConn.ExecContext(ctx, "BEGIN IMMEDIATE"); err != nil {
			return &sqlError{"55P03", err.Error()}
		}
		x.txStatus = 'T'
		return done("BEGIN")
	case words[0] == "ROLLBACK" || words[0] == "COMMIT" && x.txStatus == 'E':
		x.txStatus = 'I'
		if _, err := x.dbConn.ExecContext(ctx, "ROLLBACK"); err != nil {
			return err
		}
		return done("ROLLBACK")
	case words[0] == "COMMIT":
		return x.commit(ctx, done)
	case strings.Contains(text, "pg_advisory_xact_lock"): // BEGIN IMMEDIATE already excludes all other writers
		if simple {
			return &sqlError{"0A000", "not in the simple protocol"}
		}
		x.backend.Send(&pgproto3.DataRow{Values: [][]byte{{}}})
		return done("SELECT 1")
	}
	if words[0] == "INSERT" && x.server.consume(func(f *Faults) *int { return &f.DiskFull }) {
		return &sqlError{"53100", "could not extend file: No space left on device"}
	}
	if !returnsRows(text) {
		res, err := x.dbConn.ExecContext(ctx, text, p.args...)
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
	n, err := x.sendRows(ctx, text, p, simple)
	if err != nil {
		return err
	}
	return done(fmt.Sprintf("%s %d", words[0], n))
}

func (x *session) commit(ctx context.Context, done func(string) error) error {
	x.server.delayAnswer()
	if x.server.consume(func(f *Faults) *int { return &f.ResetBefore }) {
		reset(x.netConn)
		return errSessionEnded
	}
	if x.server.consume(func(f *Faults) *int { return &f.Serialize }) {
		x.dbConn.ExecContext(ctx, "ROLLBACK")
		x.txStatus = 'I'
		return &sqlError{"40001", "could not serialize access due to concurrent update"}
	}
	x.txStatus = 'I'
	if _, err := x.dbConn.ExecContext(ctx, "COMMIT"); err != nil {
		return err
	}
	x.server.mu.Lock()
	x.server.commits++
	x.server.mu.Unlock()
	if x.server.consume(func(f *Faults) *int { return &f.ResetAfter }) {
		reset(x.netConn)
		return errSessionEnded
	}
	return done("COMMIT")
}

// sendRows runs a query, sends its rows and returns their number.
func (x *session) sendRows(ctx context.Context, text string, p *portal, simple bool) (n int, err error) {
	fields, err := x.fieldDescriptions(p.statement, p.formats)
	if err != nil {
		return 0, err
	}
	if simple {
		x.backend.Send(&pgproto3.RowDescription{Fields: fields})
	}
	rows, err := x.dbConn.QueryContext(ctx, text, p.args...)
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
			if row[i], err = x.server.types.Encode(fields[i].DataTypeOID, fields[i].Format, v, []byte{}); err != nil {
				return n, err
			}
		}
		x.backend.Send(&pgproto3.DataRow{Values: row})
		n++
	}
	return n, rows.Err()
}
