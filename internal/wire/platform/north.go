package platform

import (
	"errors"
	"hash/fnv"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"time"

	"granitewing/internal/dispatch"
)

// Fault is the reason why a message is rejected, with its HTTP status.
type Fault struct {
	Status int
	Why    string
}

// Lane describes a message class to the protocol.
type Lane struct {
	Class int
	Keyed bool // messages must carry an Idempotency-Key
}

// Message is a complete request from a client. If Fault is set it is answered with that and not processed; the
// connection stays usable, since the end of the request is known.
type Message struct {
	dispatch.Message
	Fault     *Fault
	Health    bool // a health check of this dispatcher
	Method    string
	Target    string // path with query, as received
	Txn       string
	Lane      string
	Key       string // the Idempotency-Key header
	Remaining time.Duration
	Body      []byte
	Close     bool // close the connection after the response
	Continue  bool // the client waits for 100 Continue before it sends the body
}

// RequestReader reads the requests on one client connection.
type RequestReader struct {
	lanes   map[string]Lane
	tenants map[string]int
	head    head
	body    body
	msg     *Message // message whose body is being read
}

// NewNorth returns a reader for the classes and tenants of the settings.
func NewNorth(lanes map[string]Lane, tenants map[string]int) *RequestReader {
	return &RequestReader{lanes: lanes, tenants: tenants}
}

// Partial reports whether a message has begun and is incomplete.
func (n *RequestReader) Partial() bool { return n.msg != nil || len(n.head.buf) > 0 }

// Size returns the bytes buffered of an incomplete message.
func (n *RequestReader) Size() int {
	if n.msg != nil {
		return len(n.msg.Body)
	}
	return len(n.head.buf)
}

// Awaited reports whether the client waits for 100 Continue; true once per message.
func (n *RequestReader) Awaited() bool {
	if n.msg == nil || !n.msg.Continue {
		return false
	}
	n.msg.Continue = false
	return true
}

// Feed consumes bytes up to the end of one message. After a Fault here the end of the message is unknown, so the
// driver must answer it and close the connection.
func (n *RequestReader) Feed(b []byte) (used int, m *Message, fault *Fault) {
	if n.msg == nil {
		k, whole, err := n.head.feed(b)
		used = k
		if err != nil {
			return used, nil, &Fault{431, err.Error()}
		}
		if !whole {
			return used, nil, nil
		}
		if fault := n.parseHead(); fault != nil {
			return used, nil, fault
		}
	}
	m = n.msg
	k, whole, err := n.body.feed(b[used:], func(data []byte) error {
		if len(m.Body)+len(data) > maxBody {
			return errBodyTooLarge
		}
		m.Body = append(m.Body, data...)
		return nil
	})
	used += k
	switch {
	case errors.Is(err, errBodyTooLarge):
		return used, nil, &Fault{413, err.Error()}
	case err != nil:
		return used, nil, &Fault{400, err.Error()}
	case !whole:
		return used, nil, nil
	}
	n.msg = nil
	return used, m, nil
}

var errBodyTooLarge = errors.New("body is over 64 KiB")

// parseHead parses a complete head and determines the framing of the body.
func (n *RequestReader) parseHead() *Fault {
	err := n.head.validate()
	var first string
	var f textproto.MIMEHeader
	if err == nil {
		first, f, err = n.head.parse()
	}
	n.head.buf = n.head.buf[:0]
	if err != nil {
		return &Fault{400, "malformed head"}
	}
	parts := strings.Split(first, " ")
	if len(parts) != 3 || parts[0] == "" || !strings.HasPrefix(parts[1], "/") || !isVisibleASCII(parts[1]) {
		return &Fault{400, "malformed request line"}
	}
	if parts[2] != "HTTP/1.1" && parts[2] != "HTTP/1.0" {
		return &Fault{505, "only HTTP/1.1 is spoken here"}
	}
	if parts[0] == "HEAD" {
		// The response has no body whatever its length says, so nothing may follow on the connection.
		return &Fault{405, "HEAD is not answered here"}
	}
	if parts[2] == "HTTP/1.1" && len(f["Host"]) != 1 {
		return &Fault{400, "want one Host"}
	}
	if n.body, err = newBody(f, byContentLength); errors.Is(err, errTransfer) {
		return &Fault{501, err.Error()}
	} else if err != nil {
		return &Fault{400, err.Error()}
	}
	if n.body.framing == chunked && parts[2] == "HTTP/1.0" {
		// HTTP/1.0 has no chunked coding, so another parser would look for the end of the body elsewhere.
		return &Fault{400, errFraming.Error()}
	}
	n.body.strict = true
	if n.body.framing == byContentLength && n.body.remaining > maxBody {
		return &Fault{413, errBodyTooLarge.Error()}
	}
	m := &Message{Method: parts[0], Target: parts[1], Close: closesConnection(parts[2], f)}
	m.Continue = strings.EqualFold(f.Get("Expect"), "100-continue")
	if f.Get("Expect") != "" && !m.Continue {
		return &Fault{417, "unknown expectation"}
	}
	m.Fault = n.parseRequest(m, f)
	n.msg = m
	return nil
}

// isVisibleASCII reports whether a text consists of visible ASCII characters, the only ones that can be forwarded
// to a host within a line.
func isVisibleASCII(text string) bool {
	return !strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r >= 0x7f })
}

// parseRequest fills in a message from its head.
func (n *RequestReader) parseRequest(m *Message, f textproto.MIMEHeader) *Fault {
	path, query, _ := strings.Cut(m.Target, "?")
	if path == "/healthz" {
		m.Health = m.Method == "GET"
		if !m.Health {
			return &Fault{405, "only GET is answered here"}
		}
		return nil
	}
	first, _, _ := strings.Cut(path[1:], "/")
	lane, known := n.lanes[first]
	if !known {
		return &Fault{404, "unknown class in the path"}
	}
	if m.Method != "POST" {
		return &Fault{405, "a job arrives by POST"}
	}
	for _, name := range []string{"X-Txn", "X-Lane", "X-Remaining", "Idempotency-Key"} {
		if len(f[name]) > 1 {
			return &Fault{400, "doubled " + name}
		}
	}
	m.Txn, m.Lane, m.Key = f.Get("X-Txn"), f.Get("X-Lane"), f.Get("Idempotency-Key")
	switch {
	case m.Txn == "":
		return &Fault{400, "missing X-Txn"}
	case !isVisibleASCII(m.Txn) || !isVisibleASCII(m.Key):
		return &Fault{400, "X-Txn or Idempotency-Key can't be passed on"}
	case m.Lane != "" && m.Lane != first:
		return &Fault{400, "X-Lane is not the class in the path"}
	case lane.Keyed && m.Key == "":
		// Without the key a repeat cannot be distinguished from a new job.
		return &Fault{400, "missing Idempotency-Key"}
	}
	m.Lane, m.Class, m.Name = first, lane.Class, m.Txn
	if len(f["X-Remaining"]) == 1 {
		s, err := parseDecimal(f.Get("X-Remaining"))
		if err != nil || s > maxRemaining {
			return &Fault{400, "X-Remaining is not a time in seconds"}
		}
		m.Remaining = time.Duration(s * float64(time.Second))
	} else {
		m.Remaining = -1
	}
	m.Repeated = f.Get("X-Resent") == "1"
	m.Tenant = n.tenantIndex(f["X-Org"])
	// The rest only guides the choice of a host, so unreadable values count as absent.
	if v, err := parseDecimal(f.Get("X-Estimate")); err == nil && v < 1e12 {
		m.Hint = int64(v)
	}
	for pair := range strings.SplitSeq(f.Get("X-Labels"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := parseDecimal(value)
		if err != nil {
			continue
		}
		switch name {
		case "slots":
			m.Slots = v
		case "memory":
			m.Memory = v
		}
	}
	if q, err := url.ParseQuery(query); err == nil {
		m.Subject = userKey(q.Get("user"))
	}
	return nil
}

// tenantIndex returns the index of the tenant named by X-Org, or -1 if the header is absent, unknown or repeated.
// Such a message has no tenant share, but it is not rejected, because it can still be served.
func (n *RequestReader) tenantIndex(named []string) int {
	if len(named) == 1 {
		if t, known := n.tenants[settingsName(named[0])]; known {
			return t
		}
	}
	return -1
}

// parseDecimal parses digits with an optional decimal point. Signs, exponents, hexadecimal numbers and words such
// as inf are errors, because parsers differ on them.
func parseDecimal(text string) (float64, error) {
	if len(text) > 32 || strings.Trim(text, "0123456789.") != "" {
		return 0, strconv.ErrSyntax
	}
	return strconv.ParseFloat(text, 64)
}

// maxRemaining is the longest accepted wait in seconds. A larger value is most likely a wrong unit.
const maxRemaining = 86400

// userKey maps a user name to a number that is the same at every dispatcher; 0 for the empty name.
func userKey(name string) uint64 {
	if name == "" {
		return 0
	}
	if v, err := strconv.ParseUint(name, 16, 64); err == nil {
		return v
	}
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

var reasonPhrases = map[int]string{
	100: "Continue", 200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 413: "Content Too Large", 417: "Expectation Failed",
	431: "Request Header Fields Too Large", 501: "Not Implemented", 502: "Bad Gateway",
	503: "Service Unavailable", 505: "HTTP Version Not Supported",
}

// AppendContinue appends the interim response that asks for the body.
func AppendContinue(b []byte) []byte { return append(b, "HTTP/1.1 100 Continue\r\n\r\n"...) }

// AppendAnswer appends a complete response. after, if positive, is the Retry-After advice; last announces that the
// connection closes.
func AppendAnswer(b []byte, status int, content []byte, after time.Duration, last bool) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reasonPhrases[status]...)
	if after > 0 {
		b = append(b, "\r\nRetry-After: "...)
		b = strconv.AppendFloat(b, after.Seconds(), 'f', 3, 64)
	}
	if last {
		b = append(b, "\r\nConnection: close"...)
	}
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(content)), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, content...)
}
