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

const defaultMaxBody = 256 << 10

// frontHandler serves clients.
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
	e.GET("/-/message/:id", func(c echo.Context) error { return n.state(c, false) })
	e.GET("/-/message-body/:id", func(c echo.Context) error { return n.state(c, true) })
	e.Any("/*", n.submit)
	return e
}

func (n *carrierNode) maxBody() int64 {
	limit := int64(defaultMaxBody)
	n.do(func() { limit = n.core.MaxBody(limit) })
	return limit
}

// submit takes a message.
func (n *carrierNode) submit(c echo.Context) error {
	request := c.Request()
	id := request.Header.Get(wire.HeaderRequestID)
	if id == "" {
		return c.JSON(http.StatusBadRequest, &problem{Error: wire.HeaderRequestID + " is missing"})
	}
	body, err := readBody(request, n.maxBody())
	var tooLarge *BodyTooLargeError
	if errors.As(err, &tooLarge) {
		return c.JSON(http.StatusRequestEntityTooLarge, &problem{Error: err.Error()})
	}
	if err != nil {
		panic(http.ErrAbortHandler) // the client broke off: nothing was taken, and nobody waits for an answer
	}
	submission := newSubmission(request, id, body)
	answers := make(chan carrier.Answer, 1)
	n.do(func() {
		submission.Message.Accepted = n.Wall()
		n.core.Submit(submission, func(answer carrier.Answer) { answers <- answer })
	})
	return n.answer(c, <-answers)
}

func newSubmission(request *http.Request, id string, body []byte) *carrier.Submission {
	m := message.Message{ID: id, Host: request.Host, Method: request.Method, Target: request.RequestURI, Body: body,
		Key: request.Header.Get(wire.HeaderOrderingKey), Callback: request.Header.Get(wire.HeaderCallback),
		Delay: headerMilliseconds(request, wire.HeaderDelay)}
	if contentType := request.Header.Get(wire.HeaderContentType); contentType != "" {
		m.Headers = append(m.Headers, message.Header{Name: wire.HeaderContentType, Value: contentType})
	}
	return &carrier.Submission{Message: m, Path: request.URL.EscapedPath(), Left: headerMilliseconds(request, wire.HeaderDeadline)}
}

// headerMilliseconds reads a header that holds a time; 0 where there is none.
func headerMilliseconds(request *http.Request, name string) time.Duration {
	value, err := strconv.ParseFloat(request.Header.Get(name), 64)
	if err != nil || value < 0 {
		return 0
	}
	return time.Duration(value * float64(time.Millisecond))
}

func (n *carrierNode) answer(c echo.Context, answer carrier.Answer) error {
	switch answer.Verdict {
	case carrier.Accepted:
		return c.NoContent(http.StatusAccepted)
	case carrier.NoRoute:
		return c.JSON(http.StatusNotFound, &problem{Error: answer.Reason})
	case carrier.Refused:
		seconds := int64((answer.RetryAfter + time.Second - 1) / time.Second)
		c.Response().Header().Set(wire.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
		return c.JSON(http.StatusServiceUnavailable, &problem{Error: answer.Reason})
	}
	return c.JSON(http.StatusGatewayTimeout, &problem{Error: answer.Reason})
}

type stateForm struct {
	Phase message.Phase `json:"phase"`
	Stamp string        `json:"stamp,omitempty"`
}

// state tells a message's state or gives its bytes.
func (n *carrierNode) state(c echo.Context, withBody bool) error {
	id := c.Param("id")
	found := make(chan carrier.State, 1)
	n.do(func() { n.core.Find(id, withBody, func(state carrier.State) { found <- state }) })
	state := <-found
	switch {
	case state.Unclear:
		c.Response().Header().Set(wire.HeaderRetryAfter, "1")
		return c.JSON(http.StatusServiceUnavailable, &problem{Error: "not all stores answered"})
	case !state.Known || withBody && !state.HasBody:
		return c.JSON(http.StatusNotFound, &problem{Error: "no such message"})
	case withBody:
		return c.Blob(http.StatusOK, echo.MIMEOctetStream, state.Body)
	}
	return c.JSON(http.StatusOK, &stateForm{Phase: state.Phase, Stamp: state.Stamp})
}

// discard reads a short rest of a body, so that its connection can be used again.
func discard(body io.Reader) error {
	const most = 1 << 20
	_, err := io.CopyN(io.Discard, body, most)
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err == nil {
		return &BodyTooLargeError{Limit: most}
	}
	return err
}
