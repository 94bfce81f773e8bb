package store

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitewing/internal/system/loop"
	"granitewing/internal/system/tolerance"
	"granitewing/internal/system/wire"
)

// silentEnvironment is an environment that answers no calls. It keeps the callbacks of Copies and Call.
type silentEnvironment struct {
	loop.Loop
	loop.Peers
	onCopies func(answer wire.CopiesBody, err error)
	onSent   func(payload []byte, err error)
}

func (s *silentEnvironment) Now() time.Duration                                   { return 0 }
func (s *silentEnvironment) After(time.Duration, func())                          {}
func (s *silentEnvironment) AddCopies([]wire.CopiedMessage, bool)                 {}
func (s *silentEnvironment) Complete() bool                                       { return true }
func (s *silentEnvironment) CopiesPending() bool                                  { return false }
func (s *silentEnvironment) RefuseOutcomes(bool, func())                          {}
func (s *silentEnvironment) ListHeld(wire.HeldBody, func(wire.HeldAnswer))        {}
func (s *silentEnvironment) Copies(_ []string, done func(wire.CopiesBody, error)) { s.onCopies = done }
func (s *silentEnvironment) LogWarning(string, error)                             {}
func (s *silentEnvironment) Call(_ string, _ wire.Kind, _ []byte, _ time.Duration, done func([]byte, error)) {
	s.onSent = done
}

var _ = ginkgo.Describe("A drain of a disk", func() {
	ginkgo.It("handles an answer that arrives after the drain was cancelled", func() {
		env := &silentEnvironment{}
		e := NewDrainer(env, nil, "own", &tolerance.Tolerance{Machines: 1}, 0)
		e.lists = newListReader(env, nil, "own", e.tolerance)
		e.sender = &sender{lists: e.lists, throttle: &e.throttle}
		sender := e.sender
		sender.copyTo("other", "10.0.0.2:7001", []string{"m"})
		e.lists, e.sender = nil, nil // the disk no longer leaves the roster
		env.onCopies(wire.CopiesBody{Messages: []wire.CopiedMessage{{Cancelled: true}}}, nil)
		env.onSent(nil, nil)
		Expect(sender.inFlight).To(BeZero())
	})
})

var _ RepairEnvironment = (*silentEnvironment)(nil)
