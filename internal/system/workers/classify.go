package workers

import (
	"net/http"
	"strconv"
	"strings"

	"granitewing/internal/system/delivery"
	"granitewing/internal/system/role/carrier"
	"granitewing/internal/system/wire"
)

// classify returns the outcome of an attempt by the status and the headers of a worker's complete response. The run
// has succeeded only if the response has a 2xx status and a signature. A status that states neither success nor
// failure leaves the outcome unknown.
func classify(status int, headers http.Header) carrier.AttemptOutcome {
	outcome := carrier.AttemptOutcome{Kind: carrier.RunUnknown, Load: parseLoad(headers.Get(wire.HeaderLoad))}
	signature := headers.Get(wire.HeaderSignature)
	switch {
	case headers.Get(wire.HeaderNotExecuted) != "" || status == http.StatusMisdirectedRequest:
		outcome.Kind = carrier.NotRun
	case status >= 200 && status < 300 && signature != "":
		outcome.Kind, outcome.Stamp = carrier.RunSucceeded, signature
	case status == http.StatusUnprocessableEntity:
		outcome.Kind = carrier.RunRejected
	case status == http.StatusInternalServerError:
		outcome.Kind = carrier.RunFailed
	}
	return outcome
}

// parseLoad parses the load header, 'running,waiting,slots'. A header that is malformed or absent gives an unknown
// load.
func parseLoad(header string) delivery.Load {
	parts := strings.Split(header, ",")
	if len(parts) < 2 {
		return delivery.Load{}
	}
	running, err := strconv.Atoi(strings.TrimSpace(parts[0]))
	if err != nil {
		return delivery.Load{}
	}
	waiting, err := strconv.Atoi(strings.TrimSpace(parts[1]))
	if err != nil {
		return delivery.Load{}
	}
	return delivery.Load{Known: true, Running: running, Waiting: waiting}
}
