package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/apex/log"
	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"

	"granitewing/internal/system/catalog"
	"granitewing/internal/system/link"
)

// newEcho returns a router that recovers from panics in handlers and prints nothing at startup.
func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.Use(middleware.Recover())
	return e
}

// startServer serves HTTP at an address in the background. It returns link.ListenError if it cannot listen there.
func startServer(address string, handler http.Handler) (*http.Server, error) {
	server, _, err := startTrackedServer(address, handler, nil)
	return server, err
}

// startTrackedServer is startServer with a hook for the states of connections, which may be nil. It also returns the
// listener, which can be closed before the server is.
func startTrackedServer(address string, handler http.Handler, connState func(net.Conn, http.ConnState)) (*http.Server, net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, &link.ListenError{Address: address, Err: err}
	}
	const headerTimeout, idleTimeout = 3 * time.Second, 30 * time.Second
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ErrorLog: stdlog.New(io.Discard, "", 0), ConnState: connState}
	go func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			log.WithError(err).WithField("address", address).Error("HTTP server failed")
		}
	}()
	return server, listener, nil
}

// stopServer shuts a server down, and closes its remaining connections after a timeout.
func stopServer(server *http.Server, within time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		server.Close()
	}
}

// BodyTooLargeError reports that an HTTP body exceeds its limit, which is in bytes.
type BodyTooLargeError struct{ Limit int64 }

func (e *BodyTooLargeError) Error() string { return fmt.Sprintf("body is over %d bytes", e.Limit) }

// readBody reads a request's body. It returns BodyTooLargeError if the body exceeds limit bytes.
func readBody(request *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(request.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, &BodyTooLargeError{Limit: limit}
	}
	return body, nil
}

// catalogReader reads the list of workers from the platform's discovery API.
type catalogReader struct {
	address string
	client  *http.Client
}

func newCatalogReader(address string) *catalogReader {
	const timeout = 700 * time.Millisecond
	transport := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 30 * time.Second,
		DialContext: (&net.Dialer{Timeout: timeout}).DialContext}
	return &catalogReader{address: address, client: &http.Client{Transport: transport, Timeout: timeout}}
}

// StatusError reports an unexpected HTTP status. Call names the request, such as "GET /instances".
type StatusError struct {
	Call   string
	Status int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("%s: status %d", e.Call, e.Status)
}

// readAll reads all pages of the list. A list that cannot be read completely is an error, never a shorter list.
func (r *catalogReader) readAll() (map[string]catalog.Instance, error) {
	reading := catalog.NewReading()
	token := ""
	for range catalog.MaxPages {
		page, err := r.readPage(token)
		if err != nil {
			return nil, err
		}
		reading.Add(page)
		if page.Next == "" {
			return reading.Instances(), nil
		}
		token = page.Next
	}
	return nil, &catalog.MalformedPageError{Reason: "it has too many pages"}
}

func (r *catalogReader) readPage(token string) (catalog.Page, error) {
	const maxPageBytes = 8 << 20
	address := "http://" + r.address + "/instances"
	if token != "" {
		address += "?page-token=" + url.QueryEscape(token)
	}
	response, err := r.client.Get(address)
	if err != nil {
		return catalog.Page{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxPageBytes))
	if err != nil {
		return catalog.Page{}, err
	}
	if response.StatusCode != http.StatusOK {
		return catalog.Page{}, &StatusError{Call: "GET /instances", Status: response.StatusCode}
	}
	return catalog.ParsePage(body)
}
