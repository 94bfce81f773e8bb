package audit

import (
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"granitewing/internal/lab/client"
)

// historyLimit is how long the check of a history may take.
const historyLimit = 30 * time.Second

// operation is what a history is made of: a client's try with the answer it got, or the record read when all is over.
type operation struct {
	name   string
	read   bool
	policy string
}

// answer is an operation's outcome. unknown is a client's that heard nothing.
type answer struct {
	verdict string
	content string
	unknown bool
	careful bool // settled as failed by a start
}

// recordModel is what a store of record is: a register for each message that is written once, by its answer. A client that
// heard nothing leaves open what was written.
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
		in, out, now := input.(operation), output.(answer), state.(answer)
		switch {
		case in.read && now.unknown:
			// Nobody was told, so any final word will do; but a message of such a class has one.
			return []any{out}
		case in.read && out.verdict == "" && now.verdict == "refused":
			return []any{now} // refused before it was taken: there is no record
		case in.read && now.verdict == "refused" && out.careful:
			return []any{now}
		case in.read && now == (answer{verdict: out.verdict, content: out.content}):
			return []any{now}
		case in.read:
			return nil
		case now != (answer{}):
			return nil // answered twice
		}
		return []any{out}
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

// CheckHistory holds the run against the model of a store of record with porcupine. Classes that are written behind are
// left out: their last steps may be lost.
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
		if !t.known || !durable[t.class] {
			continue
		}
		out := answer{unknown: true}
		if t.over {
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
			read = answer{verdict: r.Verdict, content: string(r.Content), careful: r.careful()}
		}
		history = append(history, porcupine.Operation{ClientId: 1, Input: operation{name: name, read: true}, Call: end + 1, Output: read, Return: end + 2})
		rule.Checked++
	}
	switch porcupine.CheckOperationsTimeout(recordModel, history, historyLimit) {
	case porcupine.Illegal:
		rule.breach("porcupine finds no order of the tries and reads that a store of record could give")
	case porcupine.Unknown:
		rule.breach("porcupine came to no end within %v", historyLimit)
	}
	return rule
}
