// Command gwlab is the laboratory of granitewing. It emulates hosts and their failures, generates open-loop load,
// runs experiments with real dispatchers or in virtual time, and writes reports. Run "gwlab --help" for its
// commands.
//
// Exit codes: 0 success, 1 failed run, 2 wrong usage, 3 invalid run, whose load generator could not keep to its
// schedule.
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

// cli holds the commands and the flags that all of them share.
type cli struct {
	Demo      demoCmd      `cmd:"" help:"Run a short demonstration: an emulated fleet, three real dispatchers, 20 s of load. Example: gwlab demo"`
	Run       runCmd       `cmd:"" help:"Run an experiment, given as a file or the name of one that ships, and report. Example: gwlab run growth --pairs 5 --out growth-report"`
	Fleet     fleetCmd     `cmd:"" help:"Run an experiment with many real processes, and with links between them that can fail. Example: gwlab fleet spread-processes --dispatchers 60 --hosts 30 --seed 7"`
	Load      loadCmd      `cmd:"" help:"Send an experiment's jobs to dispatchers that are already running. Example: gwlab load calm --target 127.0.0.1:9000@dakar"`
	Emulate   emulateCmd   `cmd:"" help:"Emulate an experiment's hosts and discovery until Ctrl-C. Example: gwlab emulate calm --dir fleet --serve"`
	Report    reportCmd    `cmd:"" help:"Write a report from existing results, merging those of several generators. Example: gwlab report --out all one two"`
	Trace     traceCmd     `cmd:"" help:"Import, show and scale recorded traces."`
	Selfcheck selfcheckCmd `cmd:"" help:"Check the generator against a server with a known stall. Example: gwlab selfcheck"`
	Capacity  capacityCmd  `cmd:"" help:"Find the highest rate that the generator sustains, compared with vegeta. Example: gwlab capacity --pairs 5"`
	Settings  settingsCmd  `cmd:"" help:"Check settings files and write them in the canonical format. Example: gwlab settings format lab/calm.sexp"`
	StandIn   standInCmd   `cmd:"" hidden:"" help:"A server that answers at once, for capacity."`

	Log   string `help:"Log format: auto, text or json." enum:"auto,text,json" default:"auto"`
	Debug bool   `help:"Log more."`
}

// errInvalid ends a run whose load generator could not keep to its schedule.
var errInvalid = errors.New("the run is invalid: the generator fell behind, see the cause above")

// exitInvalid is the exit code for errInvalid; 1 is a failed run, 2 wrong usage.
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

// runContext is the context of a command; it ends on SIGINT and SIGTERM.
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

// printJSON writes a result to standard output as JSON.
func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", " ")
	return e.Encode(v)
}
