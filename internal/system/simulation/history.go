package simulation

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// configurationCall is one call of the operator: a change of the configuration, or a read if version is 0.
type configurationCall struct {
	base    uint64
	version uint64
	content string // short name of the document in the history
}

// configurationAnswer is the answer to a call as the operator received it.
type configurationAnswer struct {
	verdict configurationVerdict
	content string // of a read: the document's name, empty before the first configuration
}

// configurationVerdict is the kind of an answer.
type configurationVerdict uint8

const (
	verdictUnanswered configurationVerdict = iota // the change may have been applied, or may be applied later
	verdictAccepted
	verdictRefused
	verdictRead
)

// configurationHistory records all calls of a run that read or change the configuration.
type configurationHistory struct {
	operations []porcupine.Operation
	contents   map[string]string // document names by their bytes
}

func newConfigurationHistory() *configurationHistory {
	return &configurationHistory{contents: map[string]string{}}
}

// documentName returns a short name for a document. Equal bytes have the same name.
func (h *configurationHistory) documentName(raw []byte) string {
	name, known := h.contents[string(raw)]
	if !known {
		name = fmt.Sprintf("document-%d", len(h.contents)+1)
		h.contents[string(raw)] = name
	}
	return name
}

// recordRead records a read that was answered. Reads without an answer carry no information and are not recorded.
func (h *configurationHistory) recordRead(startedAt, answered time.Duration, raw []byte) {
	answer := configurationAnswer{verdict: verdictRead}
	if raw != nil {
		answer.content = h.documentName(raw)
	}
	h.operations = append(h.operations, porcupine.Operation{ClientId: len(h.operations), Input: configurationCall{},
		Call: int64(startedAt), Output: answer, Return: int64(answered)})
}

// recordCall records a call and returns the function that records its answer. A call that is never answered may take
// effect at any later time.
func (h *configurationHistory) recordCall(now time.Duration, call configurationCall) (answered func(now time.Duration, answer configurationAnswer)) {
	at := len(h.operations)
	h.operations = append(h.operations, porcupine.Operation{ClientId: at, Input: call, Call: int64(now),
		Output: configurationAnswer{verdict: verdictUnanswered}, Return: math.MaxInt64})
	return func(now time.Duration, answer configurationAnswer) {
		if answer.verdict == verdictUnanswered {
			return
		}
		h.operations[at].Output = answer
		h.operations[at].Return = int64(now)
	}
}

// acceptedDocument is one of the documents that were accepted, with those before it. Versions climb from one to the next.
type acceptedDocument struct {
	version uint64
	content string
	earlier *acceptedDocument
}

// configurationState is what the system has accepted. Its zero value is the state before the first document.
type configurationState struct{ latest *acceptedDocument }

func (s configurationState) current() (version uint64, content string) {
	if s.latest == nil {
		return 0, ""
	}
	return s.latest.version, s.latest.content
}

func (s configurationState) contains(call configurationCall) bool {
	document := s.latest
	for document != nil && document.version > call.version {
		document = document.earlier
	}
	return document != nil && document.version == call.version && document.content == call.content
}

func (s configurationState) with(call configurationCall) configurationState {
	return configurationState{latest: &acceptedDocument{version: call.version, content: call.content, earlier: s.latest}}
}

func (s configurationState) equal(other configurationState) bool {
	one, another := s.latest, other.latest
	for one != another {
		if one == nil || another == nil || one.version != another.version || one.content != another.content {
			return false
		}
		one, another = one.earlier, another.earlier
	}
	return true
}

// step reports whether an answer is possible in this state, and returns the next state.
func (s configurationState) step(call configurationCall, answer configurationAnswer) (bool, configurationState) {
	version, content := s.current()
	if answer.verdict == verdictRead {
		return answer.content == content, s
	}
	if call.version == 0 {
		return true, s // a read without an answer
	}
	known := s.contains(call)
	free := call.base == version && call.version > version
	switch {
	case known:
		return answer.verdict != verdictRefused, s
	case free:
		return answer.verdict != verdictRefused, s.with(call)
	}
	return answer.verdict != verdictAccepted, s
}

// linearizable reports whether some order of the calls explains all answers, where each call takes effect between its
// sending and its answer. A search that exceeds maxSearchTime counts as linearizable.
func (h *configurationHistory) linearizable() bool {
	const maxSearchTime = 20 * time.Second
	model := porcupine.Model{
		Init: func() any { return configurationState{} },
		Step: func(state, input, output any) (bool, any) {
			return state.(configurationState).step(input.(configurationCall), output.(configurationAnswer))
		},
		Equal: func(one, other any) bool { return one.(configurationState).equal(other.(configurationState)) },
	}
	return porcupine.CheckOperationsTimeout(model, h.operations, maxSearchTime) != porcupine.Illegal
}
