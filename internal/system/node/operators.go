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

// serveOperatorAPI serves the operators' HTTP API at the control address.
func (n *keeperNode) serveOperatorAPI() (*http.Server, error) {
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

// StatusPath is the path on a keeper's control address that responds with keeper.Status as JSON.
const StatusPath = "/-/status"

func (n *keeperNode) getStatus(c echo.Context) error {
	var status keeper.Status
	n.withLock(func() { status = n.core.Status(n.Now()) })
	return c.JSON(http.StatusOK, &status)
}

// errorResponse is the JSON body of error responses, to clients and operators alike.
type errorResponse struct {
	Error string `json:"error"`
}

// operatorResult is the result of an operator's request, passed from the event loop to the request's goroutine.
type operatorResult struct {
	raw []byte
	err error
}

func (n *keeperNode) replaceConfiguration(c echo.Context) error {
	base, err := strconv.ParseUint(c.Request().Header.Get(versionHeader), 10, 64)
	if err != nil && c.Request().Header.Get(versionHeader) != "" {
		return c.JSON(http.StatusBadRequest, &errorResponse{Error: versionHeader + " is no number"})
	}
	raw, err := readBody(c.Request(), maxConfigurationBytes)
	if err != nil {
		return c.JSON(http.StatusBadRequest, &errorResponse{Error: err.Error()})
	}
	result := n.awaitResult(func(done func(operatorResult)) {
		order := configuration.Order{Base: base, Raw: raw}
		n.core.ReplaceConfiguration(n.Now(), order, func(err error) { done(operatorResult{err: err}) })
	})
	return n.writeResult(c, result)
}

func (n *keeperNode) getConfiguration(c echo.Context) error {
	result := n.awaitResult(func(done func(operatorResult)) {
		n.core.ReadConfiguration(n.Now(), func(raw []byte, err error) { done(operatorResult{raw: raw, err: err}) })
	})
	return n.writeResult(c, result)
}

// awaitResult starts an operation under the mutex and waits for its first result. Without a result within the
// acknowledgement timeout it returns keeper.OutcomeUnknownError: the operation may still take effect.
func (n *keeperNode) awaitResult(start func(done func(operatorResult))) operatorResult {
	results := make(chan operatorResult, 1)
	var once sync.Once
	n.withLock(func() {
		start(func(result operatorResult) { once.Do(func() { results <- result }) })
		n.dispatchReady()
	})
	select {
	case result := <-results:
		return result
	case <-time.After(n.settings.Bounds.Ack):
		return operatorResult{err: &keeper.OutcomeUnknownError{}}
	}
}

// writeResult responds to an operator. It redirects to the leader's control address if this keeper does not lead.
func (n *keeperNode) writeResult(c echo.Context, result operatorResult) error {
	var invalid *configuration.InvalidError
	var conflict *configuration.ConflictError
	var notLeader *agreement.NotLeaderError
	var unknown *session.UnknownMachineError
	var tooFew *session.TooFewDisksError
	var alreadyDrained *session.AlreadyDrainedError
	switch {
	case errors.As(result.err, &unknown):
		return c.JSON(http.StatusNotFound, &errorResponse{Error: result.err.Error()})
	case errors.As(result.err, &tooFew), errors.As(result.err, &alreadyDrained):
		return c.JSON(http.StatusConflict, &errorResponse{Error: result.err.Error()})
	case result.err == nil && result.raw != nil:
		return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, bytes.Clone(result.raw))
	case result.err == nil && c.Request().Method == http.MethodGet:
		return c.JSON(http.StatusServiceUnavailable, &errorResponse{Error: "no configuration yet"})
	case result.err == nil:
		return c.JSON(http.StatusOK, &struct{}{})
	case errors.As(result.err, &invalid):
		return c.JSON(http.StatusBadRequest, &errorResponse{Error: result.err.Error()})
	case errors.As(result.err, &conflict):
		return c.JSON(http.StatusPreconditionFailed, &errorResponse{Error: result.err.Error()})
	case errors.As(result.err, &notLeader) && notLeader.Leader != "" && notLeader.Leader != n.address():
		location := "http://" + n.settings.ControlAddress(notLeader.Leader) + c.Request().URL.RequestURI()
		return c.Redirect(http.StatusTemporaryRedirect, location)
	}
	return c.JSON(http.StatusServiceUnavailable, &errorResponse{Error: result.err.Error()})
}

// startRetirement starts draining a machine's disks. A drain has no timeout: it continues even if the operator stops
// waiting for it.
func (n *keeperNode) startRetirement(c echo.Context) error {
	node := c.Param("node")
	result := n.awaitResult(func(done func(operatorResult)) {
		n.core.RetireMachine(n.Now(), node, func(err error) { done(operatorResult{err: err}) })
	})
	if result.err == nil {
		log.WithField("machine", node).Info("machine retirement started")
	}
	return n.writeResult(c, result)
}

// cancelRetirement keeps a machine that is being drained or waits to be drained.
func (n *keeperNode) cancelRetirement(c echo.Context) error {
	node := c.Param("node")
	result := n.awaitResult(func(done func(operatorResult)) {
		n.core.CancelRetirement(n.Now(), node, func(err error) { done(operatorResult{err: err}) })
	})
	if result.err == nil {
		log.WithField("machine", node).Info("machine retirement cancelled")
	}
	return n.writeResult(c, result)
}

// retirementResponse is the JSON response to a query for a retirement; Phase is "running" or "succeeded".
type retirementResponse struct {
	Phase string `json:"phase"`
}

func (n *keeperNode) getRetirement(c echo.Context) error {
	var retired bool
	result := n.awaitResult(func(done func(operatorResult)) {
		n.core.Retired(n.Now(), c.Param("node"), func(drained bool, err error) {
			retired = drained
			done(operatorResult{err: err})
		})
	})
	switch {
	case result.err != nil:
		return n.writeResult(c, result)
	case retired:
		return c.JSON(http.StatusOK, &retirementResponse{Phase: "succeeded"})
	}
	return c.JSON(http.StatusOK, &retirementResponse{Phase: "running"})
}
