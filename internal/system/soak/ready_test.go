package soak

import (
	"net/http"
	"time"
)

// isReady asks a carrier whether it is ready.
func (m *machine) isReady() bool {
	call := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := call.Get("http://" + m.ready() + "/-/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
