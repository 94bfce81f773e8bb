package audit

import (
	"strings"
	"testing"

	"granitewing/internal/lab/client"
)

// Each case is one try and its records in the store; the check reports what does not agree, or nothing.
func TestCheckRecords(t *testing.T) {
	type attempts = []struct {
		Result string `json:"result"`
	}
	sent := attempts{{"served"}}
	record := func(policy, verdict, content string, may bool, a attempts) []Record {
		return []Record{{Name: "t", Policy: policy, Verdict: verdict, Content: []byte(content), MayHaveRun: may, Attempts: a},
			{Name: "u", Policy: policy, Verdict: "refused"}}
	}
	for name, c := range map[string]struct {
		result client.Result
		answer string
		ran    bool
		list   []Record
		want   string
	}{
		"served and recorded as served":           {client.Served, "r", true, record("before", "served", "r", true, sent), ""},
		"served, the record says failed":          {client.Served, "r", true, record("before", "failed", "", true, sent), "its record says failed"},
		"served with another result":              {client.Served, "r", true, record("told", "served", "x", true, sent), `its record says served "x"`},
		"served and not recorded":                 {client.Served, "r", true, record("told", "served", "r", true, sent)[1:], "was answered served and has no record"},
		"refused, the record says served":         {client.Refused, "", false, record("told", "served", "r", true, sent), "its record says served"},
		"refused before it was taken":             {client.Refused, "", false, record("before", "x", "", false, nil)[1:], ""},
		"failed, the record says refused":         {client.Failed, "", true, record("before", "refused", "", true, sent), "failed, its record says refused"},
		"at a host, the record says never":        {client.Broken, "", true, record("before", "refused", "", false, attempts{{"unsent"}}), "may have run, its record says that it did not"},
		"at a host and without a record":          {client.Broken, "", true, record("before", "x", "", true, sent)[1:], "reached a and has no record"},
		"at a host more often than recorded":      {client.Broken, "", true, record("before", "failed", "", true, attempts{{"unsent"}}), "reached hosts 1 times, its record has 0"},
		"open after the end":                      {client.Broken, "", true, record("before", "open", "", true, sent), "is open after all dispatchers"},
		"written behind and lost":                 {client.Served, "r", true, record("behind", "x", "", true, sent)[1:], ""},
		"two records":                             {client.Served, "r", true, append(record("before", "served", "r", true, sent), record("before", "served", "r", true, sent)[0]), "two records"},
		"a record of what no client sent":         {client.Served, "r", true, append(record("before", "served", "r", true, sent), Record{Name: "x", Policy: "before", Verdict: "failed"}), "no client sent it"},
		"broken during a kill, settled as failed": {client.Broken, "", true, record("before", "failed", "", true, attempts{{""}}), ""},
	} {
		l := New(classes)
		l.Sent(0, "t", 2, 0)
		l.Sent(0, "u", 2, 0)
		l.Ended(1, "u", client.Refused, "")
		if c.ran {
			l.Finish(50, "t", l.AttemptArrived(10, 20, "t", "a", 1, 0), Done, "r")
		}
		l.Ended(60, "t", c.result, c.answer)
		rule := l.CheckRecords(c.list)
		// A record that contradicts a client's answer also violates the history check.
		if history := l.CheckHistory(c.list); strings.Contains(c.want, "its record says") && c.result != client.Broken && history.Broken == 0 || c.want == "" && history.Broken > 0 {
			t.Errorf("%s: the history check finds %d breaches", name, history.Broken)
		}
		if (rule.Broken > 0) != (c.want != "") || !strings.Contains(strings.Join(rule.Shown, "; "), c.want) {
			t.Errorf("%s: %d breaches %q, want %q", name, rule.Broken, rule.Shown, c.want)
		}
	}
}
