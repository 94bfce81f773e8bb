// Command gwlab is the laboratory: emulated hosts and failures, open-loop load, experiments and reports.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/lmittmann/tint"
	"golang.org/x/term"
)

// commands are the verbs.
type cli struct {
	Demo      demoCmd      `cmd:"" help:"Play the newcomer's day: an emulated fleet, three real dispatchers, 20 s of load. Example: gwlab demo"`
	Run       runCmd       `cmd:"" help:"Play an experiment, by file or by the name of one that ships, and report. Example: gwlab run growth --pairs 5 --out growth-report"`
	Fleet     fleetCmd     `cmd:"" help:"Play an experiment with many real processes, links between them and their failures. Example: gwlab fleet spread-processes --dispatchers 60 --hosts 30 --seed 7"`
	Load      loadCmd      `cmd:"" help:"Send an experiment's jobs to dispatchers that run already. Example: gwlab load calm --target 127.0.0.1:9000@dakar"`
	Emulate   emulateCmd   `cmd:"" help:"Play an experiment's hosts and discovery until Ctrl-C. Example: gwlab emulate calm --dir fleet --serve"`
	Report    reportCmd    `cmd:"" help:"Write a report anew from results, merging those of several generators. Example: gwlab report --out all one two"`
	Trace     traceCmd     `cmd:"" help:"Import, show and scale recorded traces."`
	Selfcheck selfcheckCmd `cmd:"" help:"Check the generator against a server with a known stall. Example: gwlab selfcheck"`
	Capacity  capacityCmd  `cmd:"" help:"Find the highest rate that the generator keeps, beside vegeta's. Example: gwlab capacity --pairs 5"`
	Settings  settingsCmd  `cmd:"" help:"Check settings files and write them in the one form. Example: gwlab settings format lab/calm.sexp"`
	StandIn   standInCmd   `cmd:"" hidden:"" help:"A server that answers at once, for capacity."`

	Log   string `help:"How the log is written: auto, text or json." enum:"auto,text,json" default:"auto"`
	Debug bool   `help:"Log more."`
}

// errInvalid ends a run whose generator could not keep to its schedule.
var errInvalid = errors.New("the run is invalid: the generator fell behind, see the cause above")

// exitInvalid is the exit code for it; 1 is a failed run, 2 wrong usage.
const exitInvalid = 3

func (c *cli) logger() *slog.Logger {
	level := slog.LevelWarn
	if c.Debug {
		level = slog.LevelDebug
	}
	switch {
	case c.Log == "json":
		return slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	case c.Log == "auto" && term.IsTerminal(int(os.Stderr.Fd())):
		return slog.New(tint.NewHandler(os.Stderr, &tint.Options{Level: level, TimeFormat: time.TimeOnly}))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
}

// runContext hands the verbs what ends at Ctrl-C.
type runContext struct{ context.Context }

func main() {
	c := &cli{}
	k := kong.Parse(c, kong.Name("gwlab"),
		kong.Description("The laboratory of granitewing: emulated hosts and failures, open-loop load, experiments, reports."),
		kong.Exit(func(code int) {
			if code != 0 {
				code = 2 // wrong usage
			}
			os.Exit(code)
		}))
	slog.SetDefault(c.logger())
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := k.Run(runContext{ctx})
	stop()
	switch {
	case err == nil:
	case errors.Is(err, errInvalid):
		fmt.Fprintln(os.Stderr, "gwlab:", err)
		os.Exit(exitInvalid)
	default:
		fmt.Fprintln(os.Stderr, "gwlab:", err)
		os.Exit(1)
	}
}

// printJSON writes a result for programs.
func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", " ")
	return e.Encode(v)
}
