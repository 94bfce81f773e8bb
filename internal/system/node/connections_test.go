package node

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitewing/internal/system/wire"
)

var _ = ginkgo.Describe("Closing idle connections", func() {
	// Clients send requests on keep-alive connections while these are closed. Each request either gets its complete
	// response or was never read by the server.
	ginkgo.It("loses no request that was read", func() {
		var read, answered sync.Map
		connections := newConnectionTracker()
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			read.Store(r.Header.Get(wire.HeaderRequestID), true)
			w.WriteHeader(http.StatusAccepted)
		})
		server, listener, err := startTrackedServer("127.0.0.1:0", handler, connections.trackState)
		Expect(err).NotTo(HaveOccurred())
		defer server.Close()
		const clients = 40
		var ready, done sync.WaitGroup
		begin := make(chan struct{})
		for client := range clients {
			ready.Add(1)
			done.Go(func() {
				connection, err := net.Dial("tcp", listener.Addr().String())
				if err != nil {
					ready.Done()
					return
				}
				defer connection.Close()
				reader := bufio.NewReader(connection)
				for number := 0; ; number++ {
					id := fmt.Sprintf("%d-%d", client, number)
					if _, err := fmt.Fprintf(connection, "POST / HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id); err != nil {
						return
					}
					response, err := http.ReadResponse(reader, nil)
					if err != nil {
						return
					}
					response.Body.Close()
					answered.Store(id, true)
					if number == 0 {
						ready.Done()
						<-begin
					}
				}
			})
		}
		ready.Wait()
		close(begin)
		connections.closeAll(10 * time.Second)
		Expect(connections.expireIdle()).To(BeZero())
		done.Wait()
		read.Range(func(id, _ any) bool {
			_, found := answered.Load(id)
			Expect(found).To(BeTrue(), "request %v was read and got no response", id)
			return true
		})
	})
})
