package audit

import (
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"granitewing/internal/lab/client"
)

// historyTimeout limits the duration of a history check.
const historyTimeout = 30 * time.Second

// operation is the input of an operation in the history: a client's try, or the read of its record after the run.
type operation struct {
	name   string
	read   bool
	policy string
}

// answer is the output of an operation and the state of the model. unknown marks a try whose client received no
// answer.
type answer struct {
	verdict        string
	content        string
	unknown        bool
	settledAtStart bool // settled as failed by a later start
}

// recordModel is the sequential specification of a store of record: for each message a register that is written
// once, by its answer. If the client received no answer, the written value is unknown.
var recordModel = (&porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		index := map[string]int{}
		var parts [][]porcupine.Operation
		for _, op := range history {
			name := op.Input.(operation).name
			i, known := index[name]
			if !known {
				i = len(parts)
				index[name] = i
				parts = append(parts, nil)
			}
			parts[i] = append(parts[i], op)
		}
		return parts
	},
	Init: func() []any { return []any{answer{}} },
	Step: func(state, input, output any) []any {
		in, out, current := input.(operation), output.(answer), state.(answer)
		switch {
		case in.read && current.unknown:
			// No client saw an answer, so any final verdict is allowed, but the message must have one.
			return []any{out}
		case in.read && out.verdict == "" && current.verdict == "refused":
			return []any{current} // refused before it was accepted: there is no record
		case in.read && current.verdict == "refused" && out.settledAtStart:
			return []any{current}
		case in.read && current == (answer{verdict: out.verdict, content: out.content}):
			return []any{current}
		case in.read:
			return nil
		case current != (answer{}):
			return nil // answered twice
		}
		return []any{out}
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

// CheckHistory uses porcupine to check the run against the model of a store of record. Classes that are written
// behind are skipped: their last steps may be lost.
func (l *Log) CheckHistory(list []Record) Rule {
	l.mu.Lock()
	defer l.mu.Unlock()
	rule := Rule{Name: "the history is one of a store of record"}
	byName, durable := map[string]*Record{}, map[int]bool{}
	end := int64(0)
	for i := range list {
		r := &list[i]
		byName[r.Name] = r
		if t := l.tries[r.Name]; t != nil && r.Policy != "behind" {
			durable[t.class] = true
		}
	}
	for _, t := range l.tries {
		end = max(end, t.ended, t.sent)
	}
	var history []porcupine.Operation
	for _, name := range slices.Sorted(mapKeys(l.tries)) {
		t := l.tries[name]
		if !t.sentByClient || !durable[t.class] {
			continue
		}
		out := answer{unknown: true}
		if t.finished {
			switch t.result {
			case client.Served:
				out = answer{verdict: "served", content: t.answer}
			case client.Refused:
				out = answer{verdict: "refused"}
			case client.Failed:
				out = answer{verdict: "failed"}
			}
		}
		history = append(history, porcupine.Operation{ClientId: 0, Input: operation{name: name}, Call: t.sent, Output: out, Return: max(t.ended, t.sent+1)})
		read := answer{}
		if r := byName[name]; r != nil {
			read = answer{verdict: r.Verdict, content: string(r.Content), settledAtStart: r.settledAtStart()}
		}
		history = append(history, porcupine.Operation{ClientId: 1, Input: operation{name: name, read: true}, Call: end + 1, Output: read, Return: end + 2})
		rule.Checked++
	}
	switch porcupine.CheckOperationsTimeout(recordModel, history, historyTimeout) {
	case porcupine.Illegal:
		rule.breach("porcupine finds no order of the tries and reads that a store of record could give")
	case porcupine.Unknown:
		rule.breach("porcupine came to no end within %v", historyTimeout)
	}
	return rule
}
