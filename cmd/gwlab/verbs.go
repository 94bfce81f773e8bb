package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"granitewing/internal/lab/emulate"
	"granitewing/internal/lab/experiment"
	"granitewing/internal/lab/load"
	"granitewing/internal/lab/process"
	"granitewing/internal/lab/report"
	"granitewing/internal/lab/selfcheck"
	"granitewing/internal/lab/trace"
	"granitewing/internal/lab/world"
	"granitewing/internal/settings"
)

type loadCmd struct {
	Experiment string   `arg:"" help:"A file, or the name of an experiment that ships."`
	Target     []string `required:"" help:"A dispatcher's address, with @ZONE if it takes clients of one zone only; repeatable." placeholder:"ADDR[@ZONE]"`
	Prefix     string   `help:"Prefix of job names; must differ between generators that run at the same time." default:"ld"`
	Seed       *uint64  `help:"Seed, instead of the experiment's." placeholder:"N"`
	Out        string   `help:"Directory for the report, which gwlab report can merge with others." placeholder:"DIR"`
	JSON       bool     `help:"Print results as JSON."`
}

func (l *loadCmd) Run(ctx runContext) error {
	spec, err := readExperiment(l.Experiment)
	if err != nil {
		return err
	}
	if l.Seed != nil {
		spec.Seed = *l.Seed
	}
	day, err := spec.Draw(spec.Seed)
	if err != nil {
		return err
	}
	var targets []load.Target
	for _, t := range l.Target {
		addr, zone, named := strings.Cut(t, "@")
		target := load.Target{Addr: addr, Zone: -1}
		if named {
			if target.Zone = slices.Index(spec.Zones, zone); target.Zone < 0 {
				return fmt.Errorf("--target %s: no zone %q; there are %s", t, zone, strings.Join(spec.Zones, ", "))
			}
		}
		targets = append(targets, target)
	}
	var folder *report.Dir
	if l.Out != "" {
		if folder, err = report.Open(l.Out); err != nil {
			return err
		}
	}
	show, label := progress()
	if label != nil {
		label(spec.Name)
	}
	begin := time.Now().Add(50 * time.Millisecond)
	res, err := load.Run(ctx, load.Options{Day: day, Targets: targets, Seed: spec.Seed, Begin: begin, Prefix: l.Prefix, Done: func(sent, done int) {
		if show != nil {
			show(sent, done, len(day.Jobs))
		}
	}})
	if err != nil {
		return err
	}
	if label != nil {
		label("")
	}
	o := experiment.LoadOutcome(spec, day, res, time.Since(begin))
	r := &experiment.Results{Experiment: spec.Name, About: spec.About, Variants: []string{o.Variant}, Runs: []*experiment.Outcome{o}, CutShort: res.CutShort}
	if l.JSON {
		err = printJSON(r)
	} else {
		r.Write(os.Stdout)
	}
	if folder != nil {
		err = errors.Join(err, folder.Write(r))
	}
	switch {
	case err != nil:
		return err
	case res.Mismatched > 0:
		return fmt.Errorf("%d answers belong to other requests", res.Mismatched)
	case !res.Verdict.Valid:
		return errInvalid
	}
	return nil
}

type emulateCmd struct {
	Experiment string  `arg:"" help:"A file, or the name of an experiment that ships."`
	Dir        string  `help:"Directory for the dispatchers' configurations." required:"" placeholder:"DIR"`
	Serve      bool    `help:"Start the dispatchers too."`
	Program    string  `help:"The dispatcher binary; default: granitewing next to this program." placeholder:"FILE"`
	Seed       *uint64 `help:"Seed, instead of the experiment's." placeholder:"N"`
}

func (e *emulateCmd) Run(ctx runContext) error {
	spec, err := readExperiment(e.Experiment)
	if err != nil {
		return err
	}
	if e.Seed != nil {
		spec.Seed = *e.Seed
	}
	day, err := spec.Draw(spec.Seed)
	if err != nil {
		return err
	}
	bin := ""
	if e.Serve {
		if bin, err = dispatcherBinary(e.Program); err != nil {
			return err
		}
	}
	if err := os.MkdirAll(e.Dir, 0o755); err != nil {
		return err
	}
	log := experiment.NewLog(day)
	fleet, err := emulate.New(day, log)
	if err != nil {
		return err
	}
	defer fleet.Close()
	var running []*process.Dispatcher
	defer func() {
		for _, d := range running {
			if err := d.Stop(); err != nil {
				fmt.Fprintln(os.Stderr, "gwlab:", err)
			}
		}
	}()
	for i := range day.Dispatchers {
		place := fleet.Addresses(i, "127.0.0.1:0")
		config, err := day.Config(i, spec.Seed+uint64(i), place, nil)
		if err != nil {
			return err
		}
		name := fmt.Sprintf("n%d", i)
		if !e.Serve {
			path := filepath.Join(e.Dir, name+".json")
			if err := os.WriteFile(path, config, 0o600); err != nil {
				return err
			}
			fmt.Printf("n%d zone %s configuration %s discovery %s\n", i, day.Zones[day.ZoneOf(i)], path, place.Discovery)
			continue
		}
		d, err := process.Start(bin, e.Dir, name, config)
		if err != nil {
			return err
		}
		running = append(running, d)
		fmt.Printf("n%d zone %s target %s@%s\n", i, day.Zones[day.ZoneOf(i)], d.Addr, day.Zones[day.ZoneOf(i)])
	}
	fleet.Start(ctx, time.Now(), func(op world.Op) {
		slog.Warn("emulate runs only hosts and discovery; operation skipped", "what", op.Label)
	})
	<-ctx.Done()
	for _, h := range log.HostLoads() {
		sum := 0
		for _, n := range h.PerSecond {
			sum += n
		}
		fmt.Printf("%s got %d attempts\n", h.Host, sum)
	}
	return nil
}

type reportCmd struct {
	Dirs []string `arg:"" help:"Directories of results."`
	Out  string   `help:"Directory for the report." required:"" placeholder:"DIR"`
}

func (r *reportCmd) Run() error {
	var all []*experiment.Results
	for _, d := range r.Dirs {
		res, err := report.Read(d)
		if err != nil {
			return err
		}
		all = append(all, res)
	}
	merged, err := report.Merge(all)
	if err != nil {
		return err
	}
	folder, err := report.Open(r.Out)
	if err != nil {
		return err
	}
	if err := folder.Write(merged); err != nil {
		return err
	}
	merged.Write(os.Stdout)
	fmt.Printf("\nreport: %s\n", folder.Path("index.html"))
	return nil
}

type traceCmd struct {
	Import traceImport `cmd:"" help:"Read a recorded trace, report what was found and write it in order. Example: gwlab trace import recorded.csv --out day.csv"`
	Show   traceShow   `cmd:"" help:"Summarize a trace. Example: gwlab trace show day.csv"`
	Scale  traceScale  `cmd:"" help:"Scale a trace in time and rate. Example: gwlab trace scale day.csv --rate 2.8 --out big.csv"`
}

type traceImport struct {
	File string  `arg:"" help:"CSV with a header line, or JSON lines (.jsonl, .ndjson)."`
	Gaps string  `help:"What to do with gaps: keep, close or fill." enum:"keep,close,fill" default:"keep"`
	Gap  float64 `help:"Seconds without a job that count as a gap; default: derived from the trace." placeholder:"S"`
	Seed uint64  `help:"Seed for random draws." default:"1"`
	Out  string  `help:"CSV file to write." placeholder:"FILE"`
}

func (t *traceImport) Run() error {
	tr, err := trace.ReadFile(t.File)
	if err != nil {
		return err
	}
	fmt.Println("found:", tr.Found)
	tr, rep := tr.Gaps(trace.GapMode(t.Gaps), time.Duration(t.Gap*float64(time.Second)), rand.New(rand.NewPCG(t.Seed, 1)))
	fmt.Println("gaps:", rep)
	showTrace("trace", tr.Summary())
	return writeTrace(t.Out, tr)
}

func writeTrace(path string, t *trace.Trace) error {
	if path == "" {
		return nil
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(t.Write(f), f.Close())
}

func showTrace(label string, s trace.Summary) {
	fmt.Printf("%s: %d jobs in %.1f s, %.3g a second; gaps vary by %.2f (1 = Poisson), counts a second disperse by %.2f (1 = Poisson)\n",
		label, s.Entries, s.Seconds, s.Rate, s.Variation, s.Dispersion)
	var names []string
	for c := range s.Mix {
		names = append(names, c)
	}
	slices.Sort(names)
	for _, c := range names {
		name := c
		if name == "" {
			name = "(no class)"
		}
		fmt.Printf("  %5.1f%%  %s\n", 100*s.Mix[c], name)
	}
}

type traceShow struct {
	File string `arg:"" help:"A trace."`
	JSON bool   `help:"Print results as JSON."`
}

func (t *traceShow) Run() error {
	tr, err := trace.ReadFile(t.File)
	if err != nil {
		return err
	}
	if t.JSON {
		return printJSON(map[string]any{"summary": tr.Summary(), "found": tr.Found})
	}
	fmt.Println("found:", tr.Found)
	showTrace(t.File, tr.Summary())
	return nil
}

type traceScale struct {
	File string  `arg:"" help:"A trace."`
	Pace float64 `help:"Speed-up factor." default:"1"`
	Rate float64 `help:"Factor for the number of jobs." default:"1"`
	Seed uint64  `help:"Seed for random draws." default:"1"`
	Out  string  `help:"CSV file to write." required:"" placeholder:"FILE"`
}

func (t *traceScale) Run() error {
	if t.Pace <= 0 || t.Rate <= 0 || t.Rate > 10_000 {
		return errors.New("--pace and --rate must be above 0, and --rate at most 10000")
	}
	tr, err := trace.ReadFile(t.File)
	if err != nil {
		return err
	}
	showTrace("before", tr.Summary())
	tr = tr.Scale(t.Pace, t.Rate, rand.New(rand.NewPCG(t.Seed, 1)))
	showTrace("after", tr.Summary())
	return writeTrace(t.Out, tr)
}

type selfcheckCmd struct {
	JSON bool `help:"Print results as JSON."`
}

func (s *selfcheckCmd) Run(ctx runContext) error {
	r, err := selfcheck.Run(ctx)
	if err != nil {
		return err
	}
	if s.JSON {
		err = printJSON(r)
	} else {
		r.Write(os.Stdout)
	}
	switch {
	case err != nil:
		return err
	case !r.Verdict.Valid:
		return errInvalid
	case !r.Good:
		return errors.New("the generator's percentiles differ from those computed from the stall")
	}
	return nil
}

type capacityCmd struct {
	Pairs int           `help:"Runs of each rate by each generator." default:"5"`
	Each  time.Duration `help:"Length of a run." default:"2s"`
	Rates []int         `help:"Rates to try, in increasing order." default:"1000,2000,5000,10000,15000,20000,25000,30000,40000,50000"`
	JSON  bool          `help:"Print results as JSON."`
}

func (c *capacityCmd) Run(ctx runContext) error {
	// The server runs in its own process, so that its CPU time does not count as the generator's.
	self, err := os.Executable()
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(ctx, self, "stand-in")
	in, err := cmd.StdinPipe()
	if err != nil {
		return err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	defer cmd.Wait()
	defer in.Close()
	addr, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		return fmt.Errorf("stand-in server: %w", err)
	}
	r, err := selfcheck.MeasureCapacity(ctx, strings.TrimSpace(addr), c.Rates, max(c.Pairs, 1), c.Each, func(s string) { fmt.Fprintln(os.Stderr, s) })
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(r)
	}
	r.Write(os.Stdout)
	return nil
}

// standInCmd serves until its standard input ends, so that it does not outlive the process that started it.
type standInCmd struct{}

func (standInCmd) Run() error {
	s, err := selfcheck.Serve()
	if err != nil {
		return err
	}
	defer s.Close()
	fmt.Println(s.Addr())
	_, err = io.Copy(io.Discard, os.Stdin)
	return err
}

type settingsCmd struct {
	Format settingsFormat `cmd:"" help:"Write a file in the canonical format."`
}

type settingsFormat struct {
	Files []string `arg:"" help:"Files."`
	Write bool     `short:"w" help:"Replace the files instead of printing."`
}

func (f *settingsFormat) Run() error {
	for _, path := range f.Files {
		nodes, err := settings.ReadFile(path)
		if err != nil {
			return err
		}
		text := settings.Format(nodes)
		if !f.Write {
			fmt.Print(text)
			continue
		}
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			return err
		}
	}
	return nil
}
