package link

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitewing/internal/system/wire"
)

// waitTimeout bounds each wait of the tests; it is reached only on failure.
const waitTimeout = 10 * time.Second

var _ = ginkgo.Describe("Link", func() {
	listen := func(handle Handler) (*Server, string) {
		server, err := Listen("127.0.0.1:0", 8, handle, nil)
		Expect(err).NotTo(HaveOccurred())
		ginkgo.DeferCleanup(server.Close)
		return server, server.listener.Addr().String()
	}
	echo := func(peer *Peer, frame wire.Frame) { peer.Answer(frame.Call, &wire.FindBody{ID: "answer"}) }
	connect := func(address string, events Callbacks) *Client {
		client := NewClient(address, events)
		ginkgo.DeferCleanup(client.Close)
		return client
	}

	ginkgo.It("carries calls, answers, refusals and pushes", func() {
		_, address := listen(func(peer *Peer, frame wire.Frame) {
			if frame.Kind == wire.CancelMessage {
				peer.Refuse(frame.Call, wire.RefusalBody{Code: wire.NotOwner, Reason: "no"})
				return
			}
			peer.Push(wire.FeedUpdate, wire.Encode(&wire.FindBody{ID: "push"}))
			echo(peer, frame)
		})
		up, pushed := make(chan bool, 1), make(chan wire.Frame, 1)
		client := connect(address, Callbacks{Connected: func() { up <- true }, Push: func(frame wire.Frame) { pushed <- frame }})
		Eventually(up, waitTimeout).Should(Receive())
		answers := make(chan error, 1)
		client.Call(wire.FindMessage, nil, func(payload []byte, err error) {
			var body wire.FindBody
			if err == nil {
				err = wire.Decode(wire.FindMessage, payload, &body)
			}
			answers <- err
		})
		Eventually(answers, waitTimeout).Should(Receive(BeNil()))
		Eventually(pushed, waitTimeout).Should(Receive())
		client.Call(wire.CancelMessage, nil, func(_ []byte, err error) { answers <- err })
		var refused error
		Eventually(answers, waitTimeout).Should(Receive(&refused))
		var body *RefusedError
		Expect(errors.As(refused, &body)).To(BeTrue())
		Expect(body.Refusal().Code).To(Equal(wire.NotOwner))
	})

	ginkgo.It("fails pending calls when the connection breaks, and reconnects", func() {
		var silent atomic.Bool
		silent.Store(true)
		_, address := listen(func(peer *Peer, frame wire.Frame) {
			if !silent.Load() {
				echo(peer, frame)
			}
		})
		up, down := make(chan bool, 8), make(chan bool, 8)
		client := connect(address, Callbacks{Connected: func() { up <- true }, Disconnected: func() { down <- true }})
		Eventually(up, waitTimeout).Should(Receive())
		answers := make(chan error, 1)
		client.Call(wire.FindMessage, nil, func(_ []byte, err error) { answers <- err })
		client.CloseConnection()
		var broken error
		Eventually(answers, waitTimeout).Should(Receive(&broken))
		var closed *ClosedError
		Expect(errors.As(broken, &closed)).To(BeTrue())
		Eventually(down, waitTimeout).Should(Receive())
		Eventually(up, waitTimeout).Should(Receive())
		silent.Store(false)
		client.Call(wire.FindMessage, nil, func(_ []byte, err error) { answers <- err })
		Eventually(answers, waitTimeout).Should(Receive(BeNil()))
	})

	ginkgo.It("closes the connection of a peer with another protocol or with a frame that is too long", func() {
		_, address := listen(echo)
		for _, bytes := range [][]byte{[]byte("GET / HTTP/1.1\r\n\r\n"), append([]byte(wire.Preamble), 0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0, 0, 0, 0, 0, 0)} {
			connection, err := net.Dial("tcp", address)
			Expect(err).NotTo(HaveOccurred())
			_, err = connection.Write(bytes)
			Expect(err).NotTo(HaveOccurred())
			Expect(connection.SetReadDeadline(time.Now().Add(waitTimeout))).To(Succeed())
			buffer := make([]byte, 64)
			for err == nil {
				_, err = connection.Read(buffer)
			}
			var timeout net.Error
			Expect(errors.As(err, &timeout) && timeout.Timeout()).To(BeFalse(), "connection is still open")
			connection.Close()
		}
	})

	ginkgo.It("is not up if a process accepts connections but sends no greeting", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer listener.Close()
		var up atomic.Bool
		client := connect(listener.Addr().String(), Callbacks{Connected: func() { up.Store(true) }})
		connection, err := listener.Accept()
		Expect(err).NotTo(HaveOccurred())
		defer connection.Close()
		second, err := listener.Accept()
		Expect(err).NotTo(HaveOccurred(), "the client abandons the first connection")
		defer second.Close()
		Expect(up.Load()).To(BeFalse())
		answers := make(chan error, 1)
		client.Call(wire.FindMessage, nil, func(_ []byte, err error) { answers <- err })
		Eventually(answers, waitTimeout).Should(Receive(HaveOccurred()))
	})
})
