package audit

import (
	"slices"
	"strings"

	"granitewing/internal/lab/client"
)

// Record is the record of a try in a dispatcher's store of record, in the format of its export.
type Record struct {
	Instance   string `json:"instance"`
	Name       string `json:"name"`
	Policy     string `json:"policy"`
	Verdict    string `json:"verdict"`
	MayHaveRun bool   `json:"may_have_run"`
	Content    []byte `json:"content"`
	Note       string `json:"note"`
	Attempts   []struct {
		Result string `json:"result"`
	} `json:"attempts"`
}

// settledAtStart reports whether a dispatcher settled the record as failed at its start. A refusal that was sent
// at once while the store was unavailable may be lost by a crash. The older step is then settled as failed, which
// is the more careful verdict.
func (r *Record) settledAtStart() bool {
	return r.Verdict == "failed" && strings.HasPrefix(r.Note, "settled at start")
}

// CheckRecords compares the records with what clients received and what hosts observed. Records of classes that
// are written behind may be missing after a kill. Records of other classes may be missing only if the message was
// refused before it was accepted and no host observed it.
func (l *Log) CheckRecords(list []Record) Rule {
	l.mu.Lock()
	defer l.mu.Unlock()
	rule := Rule{Name: "records agree with clients and hosts"}
	byName := map[string]*Record{}
	for i := range list {
		r := &list[i]
		rule.Checked++
		if byName[r.Name] != nil {
			rule.breach("%s has two records", r.Name)
		}
		byName[r.Name] = r
		if t := l.tries[r.Name]; t == nil || !t.sentByClient {
			rule.breach("%s is recorded and no client sent it", r.Name)
		}
		if r.Verdict == "open" {
			rule.breach("%s is open after all dispatchers have ended", r.Name)
		}
	}
	// The policy of any record of a class shows what must be durable for the class.
	durable := map[int]string{}
	for name, r := range byName {
		if t := l.tries[name]; t != nil && r.Policy != "behind" {
			durable[t.class] = r.Policy
		}
	}
	for _, name := range slices.Sorted(mapKeys(l.tries)) {
		t, r := l.tries[name], byName[name]
		policy := durable[t.class]
		if !t.sentByClient || r == nil {
			switch {
			case !t.sentByClient || policy == "":
			case t.finished && t.result == client.Served, t.finished && t.result == client.Failed && policy == "before" && len(t.attempts) > 0:
				rule.breach("%s was answered %s and has no record", name, t.result)
			case policy == "before" && len(t.attempts) > 0:
				rule.breach("%s reached %s and has no record", name, t.attempts[0].host)
			}
			continue
		}
		ran := slices.ContainsFunc(t.attempts, mayHaveRun)
		sent := 0
		for _, a := range r.Attempts {
			if a.Result != "unsent" {
				sent++
			}
		}
		switch {
		case policy == "":
			continue // written behind: the last steps may be missing
		case t.finished && t.result == client.Served && (r.Verdict != "served" || string(r.Content) != t.answer):
			rule.breach("%s was served %q, its record says %s %q", name, t.answer, r.Verdict, r.Content)
		case t.finished && t.result == client.Refused && r.Verdict != "refused" && !r.settledAtStart():
			rule.breach("%s was refused, its record says %s", name, r.Verdict)
		case t.finished && t.result == client.Failed && r.Verdict != "failed":
			rule.breach("%s failed, its record says %s", name, r.Verdict)
		case policy == "before" && ran && !r.MayHaveRun:
			rule.breach("%s may have run, its record says that it did not", name)
		case policy == "before" && len(t.attempts) > sent:
			rule.breach("%s reached hosts %d times, its record has %d sendings", name, len(t.attempts), sent)
		}
	}
	return rule
}
