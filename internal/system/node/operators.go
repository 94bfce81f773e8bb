package node

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/labstack/echo/v4"

	"granitewing/internal/system/agreement"
	"granitewing/internal/system/configuration"
	"granitewing/internal/system/role/keeper"
	"granitewing/internal/system/session"
)

// serveOperators serves the operator's API at the control address.
func (n *keeperNode) serveOperators() (*http.Server, error) {
	e := newEcho()
	e.POST("/-/Config.Replace", n.replaceConfiguration)
	e.GET("/-/Config.Get", n.getConfiguration)
	e.POST("/-/Retire.Start/:node", n.startRetirement)
	e.GET("/-/Retire.Get/:node", n.getRetirement)
	e.POST("/-/Retire.Cancel/:node", n.cancelRetirement)
	e.GET("/-/ready", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	e.GET(StatusPath, n.getStatus)
	return startServer(n.settings.Listen.Control, e)
}

const (
	maxConfigurationBytes = 16 << 20
	versionHeader         = "X-Base-Version"
)

// StatusPath is where a keeper tells what it knows.
const StatusPath = "/-/status"

func (n *keeperNode) getStatus(c echo.Context) error {
	var status keeper.Status
	n.do(func() { status = n.core.Status(n.Now()) })
	return c.JSON(http.StatusOK, &status)
}

type problem struct {
	Error string `json:"error"`
}

// outcome is how an operator's call went, handed from the loop to the call's goroutine.
type outcome struct {
	raw []byte
	err error
}

func (n *keeperNode) replaceConfiguration(c echo.Context) error {
	base, err := strconv.ParseUint(c.Request().Header.Get(versionHeader), 10, 64)
	if err != nil && c.Request().Header.Get(versionHeader) != "" {
		return c.JSON(http.StatusBadRequest, &problem{Error: versionHeader + " is no number"})
	}
	raw, err := readBody(c.Request(), maxConfigurationBytes)
	if err != nil {
		return c.JSON(http.StatusBadRequest, &problem{Error: err.Error()})
	}
	result := n.ask(func(done func(outcome)) {
		order := configuration.Order{Base: base, Raw: raw}
		n.core.Replace(n.Now(), order, func(err error) { done(outcome{err: err}) })
	})
	return n.answerOperator(c, result)
}

func (n *keeperNode) getConfiguration(c echo.Context) error {
	result := n.ask(func(done func(outcome)) {
		n.core.Read(n.Now(), func(raw []byte, err error) { done(outcome{raw: raw, err: err}) })
	})
	return n.answerOperator(c, result)
}

func (n *keeperNode) ask(begin func(done func(outcome))) outcome {
	answered := make(chan outcome, 1)
	var once sync.Once
	n.do(func() {
		begin(func(result outcome) { once.Do(func() { answered <- result }) })
		n.after()
	})
	select {
	case result := <-answered:
		return result
	case <-time.After(n.settings.Bounds.Ack):
		return outcome{err: &keeper.LostError{}}
	}
}

func (n *keeperNode) answerOperator(c echo.Context, result outcome) error {
	var invalid *configuration.InvalidError
	var conflict *configuration.ConflictError
	var notLeader *agreement.NotLeaderError
	var unknown *session.UnknownMachineError
	var tooFew *session.TooFewError
	var emptied *session.AlreadyEmptiedError
	switch {
	case errors.As(result.err, &unknown):
		return c.JSON(http.StatusNotFound, &problem{Error: result.err.Error()})
	case errors.As(result.err, &tooFew), errors.As(result.err, &emptied):
		return c.JSON(http.StatusConflict, &problem{Error: result.err.Error()})
	case result.err == nil && result.raw != nil:
		return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, bytes.Clone(result.raw))
	case result.err == nil && c.Request().Method == http.MethodGet:
		return c.JSON(http.StatusServiceUnavailable, &problem{Error: "no configuration yet"})
	case result.err == nil:
		return c.JSON(http.StatusOK, &struct{}{})
	case errors.As(result.err, &invalid):
		return c.JSON(http.StatusBadRequest, &problem{Error: result.err.Error()})
	case errors.As(result.err, &conflict):
		return c.JSON(http.StatusPreconditionFailed, &problem{Error: result.err.Error()})
	case errors.As(result.err, &notLeader) && notLeader.Leader != "" && notLeader.Leader != n.address():
		location := "http://" + n.settings.ControlAddress(notLeader.Leader) + c.Request().URL.RequestURI()
		return c.Redirect(http.StatusTemporaryRedirect, location)
	}
	return c.JSON(http.StatusServiceUnavailable, &problem{Error: result.err.Error()})
}

// startRetirement has a machine's disks emptied. The deadline is the operator's to watch: the emptying goes on past it.
func (n *keeperNode) startRetirement(c echo.Context) error {
	node := c.Param("node")
	result := n.ask(func(done func(outcome)) {
		n.core.RetireMachine(n.Now(), node, func(err error) { done(outcome{err: err}) })
	})
	if result.err == nil {
		log.WithField("machine", node).Info("a machine is being emptied")
	}
	return n.answerOperator(c, result)
}

// cancelRetirement has a machine stay that is being emptied, or waits for it.
func (n *keeperNode) cancelRetirement(c echo.Context) error {
	node := c.Param("node")
	result := n.ask(func(done func(outcome)) {
		n.core.CancelRetirement(n.Now(), node, func(err error) { done(outcome{err: err}) })
	})
	if result.err == nil {
		log.WithField("machine", node).Info("a machine is not emptied any more: it stays")
	}
	return n.answerOperator(c, result)
}

type retirementForm struct {
	Phase string `json:"phase"`
}

func (n *keeperNode) getRetirement(c echo.Context) error {
	var retired bool
	result := n.ask(func(done func(outcome)) {
		n.core.Retired(n.Now(), c.Param("node"), func(emptied bool, err error) {
			retired = emptied
			done(outcome{err: err})
		})
	})
	switch {
	case result.err != nil:
		return n.answerOperator(c, result)
	case retired:
		return c.JSON(http.StatusOK, &retirementForm{Phase: "succeeded"})
	}
	return c.JSON(http.StatusOK, &retirementForm{Phase: "running"})
}
