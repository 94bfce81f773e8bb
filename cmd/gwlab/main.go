// Command gwlab is the laboratory: emulated hosts and failures, open-loop load, experiments and reports.
package main

import (
	"context"
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
type commands struct {
	Demo demo `cmd:"" help:"Play the newcomer's day: an emulated fleet, three real dispatchers, 20 s of load. Example: gwlab demo"`

	Log   string `help:"How the log is written: auto, text or json." enum:"auto,text,json" default:"auto"`
	Debug bool   `help:"Log more."`
}

// errInvalid ends a run whose generator could not keep to its schedule.
var errInvalid = errors.New("the run is invalid: the generator fell behind")

// exitInvalid is the exit code for it; 1 is a failed run, 2 wrong usage.
const exitInvalid = 3

func (c *commands) logger() *slog.Logger {
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

func main() {
	c := &commands{}
	k := kong.Parse(c, kong.Name("gwlab"), kong.UsageOnError(),
		kong.Description("The laboratory of granitewing: emulated hosts and failures, open-loop load, experiments, reports."),
		kong.Exit(func(code int) {
			if code != 0 {
				code = 2
			}
			os.Exit(code)
		}))
	slog.SetDefault(c.logger())
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := k.Run(runContext{ctx})
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "gwlab:", err)
		if errors.Is(err, errInvalid) {
			os.Exit(exitInvalid)
		}
		os.Exit(1)
	}
}

// runContext hands the verbs what ends at Ctrl-C.
type runContext struct{ context.Context }
