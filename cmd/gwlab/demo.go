package main

import (
	"cmp"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/pprof"
	"slices"
	"strings"

	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"

	"granitewing/internal/lab/experiment"
	"granitewing/internal/lab/report"
	"granitewing/internal/lab/world"
	"granitewing/lab"
)

// dispatcherBinary returns the absolute path of the dispatcher binary: the one given by the flag, or the one next to
// this program.
func dispatcherBinary(flag string) (string, error) {
	if flag == "" {
		self, err := os.Executable()
		if err != nil {
			return "", err
		}
		flag = filepath.Join(filepath.Dir(self), "granitewing")
	}
	if info, err := os.Stat(flag); err != nil || info.IsDir() {
		return "", fmt.Errorf("no dispatcher at %s; build it or set --program", flag)
	}
	return filepath.Abs(flag)
}

// readExperiment reads an experiment from a file or, if the name has neither a dot nor a slash, from those that ship
// with the program.
func readExperiment(name string) (*world.Spec, error) {
	if strings.ContainsAny(name, "./") {
		return world.Read(name)
	}
	text, err := lab.Files.ReadFile(name + ".sexp")
	if err != nil {
		all, _ := fs.Glob(lab.Files, "*.sexp")
		for i := range all {
			all[i] = strings.TrimSuffix(all[i], ".sexp")
		}
		slices.Sort(all)
		return nil, fmt.Errorf("no experiment %q ships; there are %s; a file's name has a dot or a slash", name, strings.Join(all, ", "))
	}
	return world.Parse("lab/"+name+".sexp", string(text))
}

// progress returns functions that show how far a run is. It returns nils if standard error is not a terminal.
func progress() (show func(sent, done, total int), label func(string)) {
	if !term.IsTerminal(int(os.Stderr.Fd())) {
		return nil, nil
	}
	var bar *progressbar.ProgressBar
	text := ""
	return func(_, done, total int) {
			if bar == nil {
				bar = progressbar.NewOptions(total, progressbar.OptionSetWriter(os.Stderr), progressbar.OptionSetDescription(text),
					progressbar.OptionShowCount(), progressbar.OptionClearOnFinish(), progressbar.OptionThrottle(100_000_000))
			}
			bar.Set(min(done, total))
		}, func(s string) {
			if bar != nil {
				bar.Finish()
			}
			bar, text = nil, s
		}
}

// experimentFlags are the flags of the commands that run experiments.
type experimentFlags struct {
	Out     string  `help:"Directory for the report." placeholder:"DIR"`
	Program string  `help:"The dispatcher binary; default: granitewing next to this program." placeholder:"FILE"`
	Seed    *uint64 `help:"First seed, instead of the experiment's." placeholder:"N"`
	JSON    bool    `help:"Print results as JSON."`
	Profile string  `help:"Write a CPU profile of this process, which in virtual time also runs the dispatchers' decisions." placeholder:"FILE"`
}

// runExperiment runs an experiment and reports its results. It returns an error if rules were violated, the run was
// cut short or the load generator fell behind.
func (p *experimentFlags) runExperiment(ctx runContext, spec *world.Spec) error {
	if p.Seed != nil {
		spec.Seed = *p.Seed
	}
	s := experiment.Setup{}
	var label func(string)
	s.Progress, label = progress()
	var err error
	if !spec.Virtual {
		if s.Program, err = dispatcherBinary(p.Program); err != nil {
			return err
		}
		for _, v := range spec.Variants {
			if v.Program != "" {
				if _, err := dispatcherBinary(v.Program); err != nil {
					return fmt.Errorf("variant %s: %w", v.Name, err)
				}
			}
		}
	}
	if _, err := spec.Draw(spec.Seed); err != nil {
		return err // before any process is started
	}
	var folder *report.Dir
	if p.Out != "" {
		if folder, err = report.Open(p.Out); err != nil {
			return err
		}
	}
	var clean func()
	if s.Dir, clean, err = experiment.TempDir(); err != nil {
		return err
	}
	defer clean()
	if p.Profile != "" {
		f, err := os.Create(p.Profile)
		if err != nil {
			return err
		}
		defer f.Close()
		if err := pprof.StartCPUProfile(f); err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
	}
	res, err := experiment.Run(ctx, spec, s, label)
	if label != nil {
		label("")
	}
	if err != nil {
		return err
	}
	if p.JSON {
		err = printJSON(res)
	} else {
		res.Write(os.Stdout)
	}
	if folder != nil {
		err = errors.Join(err, folder.Write(res))
		if err == nil && !p.JSON {
			fmt.Printf("\nreport: %s\n", folder.Path("index.html"))
		}
	}
	switch {
	case err != nil:
		return err
	case res.Violations() > 0:
		return fmt.Errorf("%d rule violations", res.Violations())
	case res.CutShort:
		return errors.New("cut short; the results cover what was measured until then")
	case len(res.InvalidRuns()) > 0:
		return errInvalid
	}
	return nil
}

type demoCmd struct{ experimentFlags }

func (d *demoCmd) Run(ctx runContext) error {
	if d.Out == "" {
		d.Out = "demo-report"
	}
	spec, err := readExperiment("demo")
	if err != nil {
		return err
	}
	return d.runExperiment(ctx, spec)
}

type runCmd struct {
	Experiment string `arg:"" help:"A file, or the name of an experiment that ships."`
	Pairs      int    `help:"Number of pairs, instead of the experiment's." placeholder:"N"`
	experimentFlags
}

func (r *runCmd) Run(ctx runContext) error {
	spec, err := readExperiment(r.Experiment)
	if err != nil {
		return err
	}
	if r.Pairs > 0 {
		spec.Pairs = r.Pairs
	}
	return r.runExperiment(ctx, spec)
}

// fleetCmd runs an experiment with any number of real processes; on failure it prints the command that repeats the
// run.
type fleetCmd struct {
	Experiment  string `arg:"" help:"A file, or the name of an experiment that ships."`
	Dispatchers int    `help:"Number of dispatchers, instead of the experiment's." placeholder:"N"`
	Hosts       int    `help:"Number of hosts, instead of the experiment's; the load and the data sets are scaled with it." placeholder:"M"`
	experimentFlags
}

func (f *fleetCmd) Run(ctx runContext) error {
	spec, err := readExperiment(f.Experiment)
	if err != nil {
		return err
	}
	if spec.Virtual {
		return fmt.Errorf("%s runs in virtual time; use gwlab run", f.Experiment)
	}
	if spec, err = spec.Resized(cmp.Or(f.Hosts, spec.Fleet.Hosts), cmp.Or(f.Dispatchers, spec.Dispatchers)); err != nil {
		return err
	}
	err = f.runExperiment(ctx, spec)
	if err != nil && ctx.Err() == nil {
		return fmt.Errorf("%w\nto repeat it: gwlab fleet %s --dispatchers %d --hosts %d --seed %d", err, f.Experiment, spec.Dispatchers, spec.Fleet.Hosts, spec.Seed)
	}
	return err
}
