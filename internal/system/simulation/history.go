package simulation

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// configurationCall is one call of the operator: an order, or a reading where version is 0.
type configurationCall struct {
	base    uint64
	version uint64
	content string // what the document is called in the history
}

// configurationAnswer is what the operator heard.
type configurationAnswer struct {
	verdict configurationVerdict
	content string // of a reading: empty before the first configuration
}

// configurationVerdict tells answers apart.
type configurationVerdict uint8

const (
	unanswered configurationVerdict = iota // it may have been taken, or may be later
	taken
	refused
	read
)

// configurationHistory is all calls of a day about the configuration.
type configurationHistory struct {
	operations []porcupine.Operation
	contents   map[string]string // by bytes
}

func newConfigurationHistory() *configurationHistory {
	return &configurationHistory{contents: map[string]string{}}
}

// content names a document by its bytes.
func (h *configurationHistory) content(raw []byte) string {
	name, known := h.contents[string(raw)]
	if !known {
		name = fmt.Sprintf("document-%d", len(h.contents)+1)
		h.contents[string(raw)] = name
	}
	return name
}

// reading notes a reading that was answered; one that was not says nothing.
func (h *configurationHistory) reading(began, answered time.Duration, raw []byte) {
	answer := configurationAnswer{verdict: read}
	if raw != nil {
		answer.content = h.content(raw)
	}
	h.operations = append(h.operations, porcupine.Operation{ClientId: len(h.operations), Input: configurationCall{},
		Call: int64(began), Output: answer, Return: int64(answered)})
}

// begin notes a call, and gives what notes its answer. A call that is never answered may take effect at any later time.
func (h *configurationHistory) begin(now time.Duration, call configurationCall) (answered func(now time.Duration, answer configurationAnswer)) {
	at := len(h.operations)
	h.operations = append(h.operations, porcupine.Operation{ClientId: at, Input: call, Call: int64(now),
		Output: configurationAnswer{verdict: unanswered}, Return: math.MaxInt64})
	return func(now time.Duration, answer configurationAnswer) {
		if answer.verdict == unanswered {
			return
		}
		h.operations[at].Output = answer
		h.operations[at].Return = int64(now)
	}
}

// configurationState is the documents that were taken, by version and name, the latest last.
type configurationState string

func (s configurationState) entries() []string {
	if s == "" {
		return nil
	}
	return strings.Split(string(s), " ")
}

func entryOf(version uint64, content string) string { return fmt.Sprintf("%d:%s", version, content) }

func (s configurationState) current() (version uint64, content string) {
	entries := s.entries()
	if len(entries) == 0 {
		return 0, ""
	}
	if _, err := fmt.Sscanf(strings.Replace(entries[len(entries)-1], ":", " ", 1), "%d %s", &version, &content); err != nil {
		return 0, ""
	}
	return version, content
}

func (s configurationState) knows(call configurationCall) bool {
	for _, entry := range s.entries() {
		if entry == entryOf(call.version, call.content) {
			return true
		}
	}
	return false
}

func (s configurationState) with(call configurationCall) configurationState {
	return configurationState(strings.TrimSpace(string(s) + " " + entryOf(call.version, call.content)))
}

// step tells whether an answer fits the state, and what state follows.
func (s configurationState) step(call configurationCall, answer configurationAnswer) (bool, configurationState) {
	version, content := s.current()
	if answer.verdict == read {
		return answer.content == content, s
	}
	if call.version == 0 {
		return true, s // a reading without an answer
	}
	known := s.knows(call)
	free := call.base == version && call.version > version
	switch {
	case known:
		return answer.verdict != refused, s
	case free:
		return answer.verdict != refused, s.with(call)
	}
	return answer.verdict != taken, s
}

// linearizable tells whether some order of the calls, each between its sending and its answer, explains all answers.
func (h *configurationHistory) linearizable() bool {
	const searchMost = 20 * time.Second
	model := porcupine.Model{
		Init: func() any { return configurationState("") },
		Step: func(state, input, output any) (bool, any) {
			return state.(configurationState).step(input.(configurationCall), output.(configurationAnswer))
		},
		Equal: func(one, other any) bool { return one == other },
	}
	return porcupine.CheckOperationsTimeout(model, h.operations, searchMost) != porcupine.Illegal
}
