package audit

import (
	"slices"
	"strings"

	"granitewing/internal/lab/client"
)

// Record is what a dispatcher's store of record has of a try, as its export gives it.
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

// careful tells whether a start settled the record as failed. A refusal that was given at once while the store was gone may
// be lost by a crash, and the older step then settles so, which is the more careful word.
func (r *Record) careful() bool {
	return r.Verdict == "failed" && strings.HasPrefix(r.Note, "settled at start")
}

// CheckRecords holds the records against what clients received and hosts got. Of classes that are written behind some may
// be missing after a kill; of the others none, unless the message was refused before it was taken and no host saw it.
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
		if t := l.tries[r.Name]; t == nil || !t.known {
			rule.breach("%s is recorded and no client sent it", r.Name)
		}
		if r.Verdict == "open" {
			rule.breach("%s is open after all dispatchers have ended", r.Name)
		}
	}
	// What must be durable is told by a policy of any record of the class.
	durable := map[int]string{}
	for name, r := range byName {
		if t := l.tries[name]; t != nil && r.Policy != "behind" {
			durable[t.class] = r.Policy
		}
	}
	for _, name := range slices.Sorted(mapKeys(l.tries)) {
		t, r := l.tries[name], byName[name]
		policy := durable[t.class]
		if !t.known || r == nil {
			switch {
			case !t.known || policy == "":
			case t.over && t.result == client.Served, t.over && t.result == client.Failed && policy == "before" && len(t.attempts) > 0:
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
			continue // behind: its last steps may be missing
		case t.over && t.result == client.Served && (r.Verdict != "served" || string(r.Content) != t.answer):
			rule.breach("%s was served %q, its record says %s %q", name, t.answer, r.Verdict, r.Content)
		case t.over && t.result == client.Refused && r.Verdict != "refused" && !r.careful():
			rule.breach("%s was refused, its record says %s", name, r.Verdict)
		case t.over && t.result == client.Failed && r.Verdict != "failed":
			rule.breach("%s failed, its record says %s", name, r.Verdict)
		case policy == "before" && ran && !r.MayHaveRun:
			rule.breach("%s may have run, its record says that it did not", name)
		case policy == "before" && len(t.attempts) > sent:
			rule.breach("%s reached hosts %d times, its record has %d sendings", name, len(t.attempts), sent)
		}
	}
	return rule
}
