package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"granitewing/internal/lifecycle"
	"granitewing/internal/record"
)

// records lists the verbs for the store of record.
type records struct {
	List   recordsList   `cmd:"" help:"List records. Example: granitewing-store records list --settings site.sexp --class alert-send --verdict failed"`
	Show   recordsShow   `cmd:"" help:"Show the records of one message, by its X-Txn. Example: granitewing-store records show --settings site.sexp 9b1f03aa5c7e2d41"`
	Export recordsExport `cmd:"" help:"Write records as JSON lines. Example: granitewing-store records export --settings site.sexp --since 24h"`
	Verify recordsVerify `cmd:"" help:"Check every invariant over the store and name the first record that breaks one."`
	Prune  recordsPrune  `cmd:"" help:"Delete answered records that are older than a time. Example: granitewing-store records prune --settings site.sexp --older 720h"`
	Settle recordsSettle `cmd:"" help:"Close what a dispatcher that will not start again left open. Example: granitewing-store records settle --settings site.sexp --instance n3"`
}

// store holds the flag that all these verbs share.
type store struct {
	Settings string `help:"The product's own settings, which name the store." required:"" placeholder:"FILE"`
}

func (s store) open(use lifecycle.StoreMode, instance string) (record.Store, context.Context, func(), error) {
	product, err := lifecycle.ReadSettings(s.Settings)
	if err != nil {
		return nil, nil, nil, err
	}
	if product.Records == nil {
		return nil, nil, nil, fmt.Errorf("%s: no (record …): it names no store", s.Settings)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	st, err := lifecycle.OpenStore(ctx, product.Records.Store, instance, use)
	if err != nil {
		stop()
		return nil, nil, nil, err
	}
	return st, ctx, func() { st.Close(); stop() }, nil
}

// filter holds the flags that select records.
type filter struct {
	Instance string        `help:"Of one dispatcher." placeholder:"NAME"`
	Class    string        `help:"Of one class." placeholder:"NAME"`
	Verdict  string        `help:"open, served, refused, failed or hung-up." enum:",open,served,refused,failed,hung-up" default:""`
	Since    time.Duration `help:"Taken within so long." placeholder:"24h"`
	Limit    int           `help:"At most so many; 0 = all." default:"0"`
}

func (f filter) query() record.Query {
	q := record.Query{Instance: f.Instance, Class: f.Class, Verdict: f.Verdict, Limit: f.Limit}
	if f.Since > 0 {
		q.Since = time.Now().Add(-f.Since).UnixMicro()
	}
	return q
}

// exportedRecord is the JSON form of a record.
type exportedRecord struct {
	Instance string `json:"instance"`
	record.Record
	VerdictName string `json:"verdict"`
	MayHaveRun  bool   `json:"may_have_run"`
}

func newExportedRecord(instance string, r record.Record) exportedRecord {
	return exportedRecord{instance, r, r.Verdict.String(), r.MayHaveRun()}
}

func formatTime(us int64) string {
	if us == 0 {
		return "-"
	}
	return time.UnixMicro(us).UTC().Format("2006-01-02T15:04:05.000Z")
}

func formatAttempts(r *record.Record) string {
	var out []string
	for _, a := range r.Attempts {
		result := string(a.Result)
		if result == "" {
			result = "?"
		}
		out = append(out, a.Host+":"+result)
	}
	return strings.Join(out, " ")
}

type recordsList struct {
	store
	filter
}

func (l *recordsList) Run() error {
	st, ctx, done, err := l.open(lifecycle.Reading, "")
	if err != nil {
		return err
	}
	defer done()
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "instance\tid\tname\tclass\ttaken\tanswered\tverdict\tattempts\tnote")
	err = st.Query(ctx, l.query(), func(instance string, r record.Record) error {
		_, err := fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", instance, r.ID, r.Name, r.Class, formatTime(r.Taken), formatTime(r.Answered), r.Verdict, formatAttempts(&r), r.Note)
		return err
	})
	return errors.Join(err, t.Flush())
}

type recordsShow struct {
	store
	Name string `arg:"" help:"The message's X-Txn."`
}

func (s *recordsShow) Run() error {
	st, ctx, done, err := s.open(lifecycle.Reading, "")
	if err != nil {
		return err
	}
	defer done()
	found := false
	err = st.Query(ctx, record.Query{Name: s.Name}, func(instance string, r record.Record) error {
		found = true
		fmt.Printf("%s, class %s, id %d of %s (step %d)\n  taken     %s\n  deadline  %s\n", r.Name, r.Class, r.ID, instance, r.Step, formatTime(r.Taken), formatTime(r.Deadline))
		for i, a := range r.Attempts {
			fmt.Printf("  attempt %d to %s, sent %s, ended %s, started %t: %s\n", i+1, a.Host, formatTime(a.Sent), formatTime(a.Ended), a.Started, a.Result)
		}
		fmt.Printf("  answered  %s: %s; may have run: %t\n", formatTime(r.Answered), r.Verdict, r.MayHaveRun())
		if r.Note != "" {
			fmt.Printf("  note      %s\n", r.Note)
		}
		return nil
	})
	if err == nil && !found {
		err = fmt.Errorf("no record of %s", s.Name)
	}
	return err
}

type recordsExport struct {
	store
	filter
}

func (e *recordsExport) Run() error {
	st, ctx, done, err := e.open(lifecycle.Reading, "")
	if err != nil {
		return err
	}
	defer done()
	out := json.NewEncoder(os.Stdout)
	return st.Query(ctx, e.query(), func(instance string, r record.Record) error { return out.Encode(newExportedRecord(instance, r)) })
}

type recordsVerify struct{ store }

func (v *recordsVerify) Run() error {
	st, ctx, done, err := v.open(lifecycle.Reading, "")
	if err != nil {
		return err
	}
	defer done()
	n := 0
	var last record.Record
	var lastOf string
	err = st.Query(ctx, record.Query{}, func(instance string, r record.Record) error {
		if instance == lastOf && r.ID <= last.ID {
			return fmt.Errorf("record %d (%s) of %s follows one with the id %d", r.ID, r.Name, instance, last.ID)
		}
		lastOf, last = instance, r
		n++
		return r.Verify()
	})
	if err != nil {
		return fmt.Errorf("after %d good records: %w", n, err)
	}
	fmt.Printf("%d records, all good\n", n)
	return nil
}

type recordsPrune struct {
	store
	Older time.Duration `help:"Answered longer ago than that." required:"" placeholder:"720h"`
}

func (p *recordsPrune) Run() error {
	if p.Older <= 0 {
		return errors.New("--older must be above 0")
	}
	st, ctx, done, err := p.open(lifecycle.Repairing, "")
	if err != nil {
		return err
	}
	defer done()
	before, deleted := time.Now().Add(-p.Older).UnixMicro(), 0
	for {
		n, err := st.Prune(ctx, before, 5000)
		deleted += n
		if err != nil {
			return fmt.Errorf("after %d deleted: %w", deleted, err)
		}
		if n == 0 {
			break
		}
	}
	fmt.Printf("%d records deleted\n", deleted)
	return nil
}

type recordsSettle struct {
	store
	Instance string `help:"The dispatcher that will not start again." required:"" placeholder:"NAME"`
}

func (s *recordsSettle) Run() error {
	// Opening the store for Serving takes over the instance's epoch, so that a dispatcher of that name that still runs is
	// fenced off.
	st, ctx, done, err := s.open(lifecycle.Serving, s.Instance)
	if err != nil {
		return err
	}
	defer done()
	j := record.New(nil, st.Epoch(), record.DefaultLimits, record.NewBreaker(1, 1, 1, 0))
	r, err := record.Recover(ctx, st, j, nil, time.Now().UnixMicro())
	if err != nil {
		return err
	}
	fmt.Printf("%d settled as failed (may have run), %d as refused (never ran)\n", r.Failed, r.Refused)
	return nil
}
