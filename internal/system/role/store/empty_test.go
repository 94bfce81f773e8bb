package store

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitewing/internal/system/loop"
	"granitewing/internal/system/tolerance"
	"granitewing/internal/system/wire"
)

// idle is an environment in which nothing is ever answered; the calls for copies are kept.
type idle struct {
	loop.Loop
	loop.Peers
	copies func(answer wire.CopiesBody, err error)
	sent   func(payload []byte, err error)
}

func (i *idle) Now() time.Duration                                   { return 0 }
func (i *idle) After(time.Duration, func())                          {}
func (i *idle) Fill([]wire.CopiedMessage, bool)                      {}
func (i *idle) Complete() bool                                       { return true }
func (i *idle) Filling() bool                                        { return false }
func (i *idle) Seal(bool, func())                                    {}
func (i *idle) Held(wire.HeldBody, func(wire.HeldAnswer))            {}
func (i *idle) Copies(_ []string, done func(wire.CopiesBody, error)) { i.copies = done }
func (i *idle) Report(string, error)                                 {}
func (i *idle) Call(_ string, _ wire.Kind, _ []byte, _ time.Duration, done func([]byte, error)) {
	i.sent = done
}

var _ = ginkgo.Describe("An emptier", func() {
	ginkgo.It("takes an answer that comes after the emptying was called off", func() {
		env := &idle{}
		e := NewEmptier(env, nil, "own", &tolerance.Tolerance{Machines: 1}, 0)
		e.lists = newLists(env, nil, "own", e.tolerance)
		e.sender = &sender{lists: e.lists, throttle: &e.throttle}
		begun := e.sender
		begun.copyTo("other", "10.0.0.2:7001", []string{"m"})
		e.lists, e.sender = nil, nil // the disk is not to leave any more
		env.copies(wire.CopiesBody{Messages: []wire.CopiedMessage{{Void: true}}}, nil)
		env.sent(nil, nil)
		Expect(begun.sending).To(BeZero())
	})
})

var _ RepairEnvironment = (*idle)(nil)
