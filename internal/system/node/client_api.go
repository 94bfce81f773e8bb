package node

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"granitewing/internal/system/message"
	"granitewing/internal/system/role/carrier"
	"granitewing/internal/system/wire"
)

// defaultMaxBodyBytes limits request bodies until a configuration sets a limit.
const defaultMaxBodyBytes = 256 << 10

// frontHandler returns the handler of the client API: queries for a message's state and body, and on every other path the
// submission of a message. During a graceful shutdown every response closes its connection.
func (n *carrierNode) frontHandler() http.Handler {
	e := newEcho()
	e.Use(func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			if n.draining.Load() {
				c.Response().Header().Set("Connection", "close")
			}
			return next(c)
		}
	})
	e.GET("/-/message/:id", func(c echo.Context) error { return n.handleState(c, false) })
	e.GET("/-/message-body/:id", func(c echo.Context) error { return n.handleState(c, true) })
	e.Any("/*", n.handleSubmit)
	return e
}

func (n *carrierNode) maxBodyBytes() int64 {
	limit := int64(defaultMaxBodyBytes)
	n.withLock(func() { limit = n.core.MaxBody(limit) })
	return limit
}

// handleSubmit accepts a message from a client. It responds when the core has accepted or refused the message.
func (n *carrierNode) handleSubmit(c echo.Context) error {
	request := c.Request()
	id := request.Header.Get(wire.HeaderRequestID)
	if id == "" {
		return c.JSON(http.StatusBadRequest, &errorResponse{Error: wire.HeaderRequestID + " is missing"})
	}
	body, err := readBody(request, n.maxBodyBytes())
	var tooLarge *BodyTooLargeError
	if errors.As(err, &tooLarge) {
		return c.JSON(http.StatusRequestEntityTooLarge, &errorResponse{Error: err.Error()})
	}
	if err != nil {
		panic(http.ErrAbortHandler) // the client disconnected: nothing was accepted and nobody awaits the response
	}
	submission := newSubmission(request, id, body)
	answers := make(chan carrier.Answer, 1)
	n.withLock(func() {
		submission.Message.Accepted = n.WallMillis()
		n.core.Submit(submission, func(answer carrier.Answer) { answers <- answer })
	})
	return n.writeAnswer(c, <-answers)
}

func newSubmission(request *http.Request, id string, body []byte) *carrier.Submission {
	m := message.Message{ID: id, Host: request.Host, Method: request.Method, Target: request.RequestURI, Body: body,
		Key: request.Header.Get(wire.HeaderOrderingKey), Callback: request.Header.Get(wire.HeaderCallback),
		Delay: headerDuration(request, wire.HeaderDelay)}
	if contentType := request.Header.Get(wire.HeaderContentType); contentType != "" {
		m.Headers = append(m.Headers, message.Header{Name: wire.HeaderContentType, Value: contentType})
	}
	return &carrier.Submission{Message: m, Path: request.URL.EscapedPath(), ClientTimeout: headerDuration(request, wire.HeaderDeadline)}
}

// headerDuration parses a header that holds milliseconds. It returns 0 if the header is missing, negative or not a number.
func headerDuration(request *http.Request, name string) time.Duration {
	value, err := strconv.ParseFloat(request.Header.Get(name), 64)
	if err != nil || value < 0 {
		return 0
	}
	return time.Duration(value * float64(time.Millisecond))
}

func (n *carrierNode) writeAnswer(c echo.Context, answer carrier.Answer) error {
	switch answer.Verdict {
	case carrier.Accepted:
		return c.NoContent(http.StatusAccepted)
	case carrier.NoRoute:
		return c.JSON(http.StatusNotFound, &errorResponse{Error: answer.Reason})
	case carrier.Refused:
		seconds := int64((answer.RetryAfter + time.Second - 1) / time.Second)
		c.Response().Header().Set(wire.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
		return c.JSON(http.StatusServiceUnavailable, &errorResponse{Error: answer.Reason})
	}
	return c.JSON(http.StatusGatewayTimeout, &errorResponse{Error: answer.Reason})
}

type messageStateResponse struct {
	Phase message.Phase `json:"phase"`
	Stamp string        `json:"stamp,omitempty"`
}

// handleState responds with a message's state, or with its body if withBody is set.
func (n *carrierNode) handleState(c echo.Context, withBody bool) error {
	id := c.Param("id")
	found := make(chan carrier.State, 1)
	n.withLock(func() { n.core.QueryState(id, withBody, func(state carrier.State) { found <- state }) })
	state := <-found
	switch {
	case state.Indeterminate:
		c.Response().Header().Set(wire.HeaderRetryAfter, "1")
		return c.JSON(http.StatusServiceUnavailable, &errorResponse{Error: "not all stores answered"})
	case !state.Known || withBody && !state.HasBody:
		return c.JSON(http.StatusNotFound, &errorResponse{Error: "no such message"})
	case withBody:
		return c.Blob(http.StatusOK, echo.MIMEOctetStream, state.Body)
	}
	return c.JSON(http.StatusOK, &messageStateResponse{Phase: state.Phase, Stamp: state.Stamp})
}

// discardBody reads the rest of a body so that its connection can be reused. It returns BodyTooLargeError after 1 MiB.
func discardBody(body io.Reader) error {
	const maxBytes = 1 << 20
	_, err := io.CopyN(io.Discard, body, maxBytes)
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err == nil {
		return &BodyTooLargeError{Limit: maxBytes}
	}
	return err
}
