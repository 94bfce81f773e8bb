package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"

	"granitewing/internal/lab/experiment"
	"granitewing/internal/lab/measure"
	"granitewing/internal/lab/world"
	"granitewing/lab"
)

// program finds the dispatcher's build: the flag's, or the one beside this program.
func program(flag string) (string, error) {
	if flag == "" {
		self, err := os.Executable()
		if err != nil {
			return "", err
		}
		flag = filepath.Join(filepath.Dir(self), "granitewing")
	}
	if info, err := os.Stat(flag); err != nil || info.IsDir() {
		return "", fmt.Errorf("no dispatcher at %s; build it or name it by --program", flag)
	}
	return filepath.Abs(flag)
}

// progress shows how far a run is, on a terminal alone.
func progress(label string) func(sent, done, total int) {
	if !term.IsTerminal(int(os.Stderr.Fd())) {
		return nil
	}
	var bar *progressbar.ProgressBar
	return func(sent, done, total int) {
		if bar == nil {
			bar = progressbar.NewOptions(total, progressbar.OptionSetWriter(os.Stderr), progressbar.OptionSetDescription(label),
				progressbar.OptionShowCount(), progressbar.OptionClearOnFinish(), progressbar.OptionThrottle(100_000_000))
		}
		bar.Set(min(done, total))
	}
}

type demo struct {
	Out     string `help:"Folder for the report." default:"demo-report" placeholder:"DIR"`
	Program string `help:"Another build of the dispatcher." placeholder:"FILE"`
	Seed    uint64 `help:"Another day." default:"0"`
	JSON    bool   `help:"Results as JSON."`
}

func (d *demo) Run(ctx runContext) error {
	text, err := lab.Files.ReadFile("demo.sexp")
	if err != nil {
		return err
	}
	spec, err := world.Parse("demo.sexp", string(text))
	if err != nil {
		return err
	}
	bin, err := program(d.Program)
	if err != nil {
		return err
	}
	dir, clean, err := experiment.TempDir()
	if err != nil {
		return err
	}
	defer clean()
	o, err := experiment.Play(ctx, spec, world.Variant{Name: "demo"}, cmp.Or(d.Seed, spec.Seed),
		experiment.Setup{Program: bin, Dir: dir, Progress: progress("demo")})
	if err != nil {
		return err
	}
	if d.JSON {
		return json.NewEncoder(os.Stdout).Encode(o)
	}
	fmt.Printf("%s: %s; seed %d, %.1f s\n\n", spec.Name, spec.About, o.Seed, o.Wall)
	for _, m := range o.Marks {
		fmt.Printf("  %5.1f s  %s\n", m.At, m.Label)
	}
	fmt.Println()
	measure.WriteTable(os.Stdout, o.Rows)
	fmt.Printf("\n%s\n\naudit, from the records of hosts, clients and discovery:\n%s", o.Verdict, o.Audit)
	for _, n := range o.Notes {
		fmt.Println("note:", n)
	}
	if n := o.Audit.Broken(); n > 0 {
		return fmt.Errorf("%d breaches of the rules", n)
	}
	if !o.Verdict.Valid {
		return errInvalid
	}
	return nil
}
