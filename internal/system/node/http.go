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

func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.Use(middleware.Recover())
	return e
}

// startServer serves HTTP at an address.
func startServer(address string, handler http.Handler) (*http.Server, error) {
	server, _, err := startTracked(address, handler, nil)
	return server, err
}

// startTracked serves HTTP at an address, and gives its listener; note is told the states of connections.
func startTracked(address string, handler http.Handler, note func(net.Conn, http.ConnState)) (*http.Server, net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, &link.ListenError{Address: address, Err: err}
	}
	const headerTimeout, idleTimeout = 3 * time.Second, 30 * time.Second
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ErrorLog: stdlog.New(io.Discard, "", 0), ConnState: note}
	go func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			log.WithError(err).WithField("address", address).Error("server ended")
		}
	}()
	return server, listener, nil
}

func stopServer(server *http.Server, within time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		server.Close()
	}
}

// BodyTooLargeError tells of a body over the limit.
type BodyTooLargeError struct{ Limit int64 }

func (e *BodyTooLargeError) Error() string { return fmt.Sprintf("body is over %d bytes", e.Limit) }

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

// catalogReader reads the platform's list.
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

// StatusError tells of an answer with another status than the wanted one.
type StatusError struct {
	Call   string
	Status int
}

func (e *StatusError) Error() string { return fmt.Sprintf("%s: status %d", e.Call, e.Status) }

func (r *catalogReader) read() (map[string]catalog.Instance, error) {
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
	return nil, &catalog.UnreadableError{Reason: "it has no last page"}
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
