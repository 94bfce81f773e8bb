// Package command is the command line of the system: a subcommand for each role, and verbs for people.
package command

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/spf13/cobra"

	"granitewing/internal/system/node"
	"granitewing/internal/system/settings"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// usageError marks what the caller has to change: arguments or settings.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }

func (e *usageError) Unwrap() error { return e.err }

// Execute runs the command line and gives the exit code.
func Execute(arguments []string, output, errors_ io.Writer) int {
	log.SetHandler(logfmt.New(errors_))
	root := newRoot()
	root.SetArgs(arguments)
	root.SetOut(output)
	root.SetErr(errors_)
	err := root.Execute()
	if err == nil {
		return 0
	}
	fmt.Fprintln(errors_, "granitewing:", err)
	var usage *usageError
	var fault *settings.Error
	if errors.As(err, &usage) || errors.As(err, &fault) || strings.HasPrefix(err.Error(), "unknown command") {
		return exitUsage
	}
	return exitFailed
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "granitewing",
		Short:         "Ingest and dispatch service: takes messages, keeps them, delivers each to the worker of least cost",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &usageError{err: err} })
	root.AddCommand(
		newRole("carrier", "Take clients' messages and deliver them", node.RunCarrier),
		newRole("keeper", "Keep the configuration, the sessions and who owns what", node.RunKeeper),
		newRole("store", "Keep messages on disk", node.RunStore),
		newCheck(), newInspect(), newStatus(),
	)
	return root
}

type runRole func(ctx context.Context, s *settings.Settings, changes <-chan *settings.Settings) error

func newRole(name, short string, run runRole) *cobra.Command {
	return &cobra.Command{
		Use:     name,
		Short:   short,
		Long:    short + ".\nThe settings file is named by " + settings.PathVariable + "; without it " + settings.DefaultPath + " is read.",
		Example: "  " + settings.PathVariable + "=local.toml granitewing " + name,
		Args: func(command *cobra.Command, arguments []string) error {
			if err := cobra.NoArgs(command, arguments); err != nil {
				return &usageError{err: err}
			}
			return nil
		},
		RunE: func(*cobra.Command, []string) error { return start(run) },
	}
}

// start runs a role until it is told to stop.
func start(run runRole) error {
	s, err := settings.Load(settings.Path())
	if err != nil {
		return err
	}
	limitMemory(s)
	log.Log = log.WithField("node", s.NodeName)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return run(ctx, s, watchSettings(ctx, settings.Path()))
}

// memoryShare of the machine's limit that the collector aims to stay under.
const memoryShare = 0.75

func limitMemory(s *settings.Settings) {
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.Limits.MemoryMB) * (1 << 20)))
	}
}

const settingsInterval = 2 * time.Second

// watchSettings reads the settings file again on SIGHUP, and whenever it has changed without one. A file that can't be used
// changes nothing. What a process was started with stays in force but for the seeds: addresses and limits don't change in
// its life.
func watchSettings(ctx context.Context, path string) <-chan *settings.Settings {
	changes := make(chan *settings.Settings)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		defer close(changes)
		last, _ := os.ReadFile(path)
		for {
			signalled := false
			select {
			case <-ctx.Done():
				return
			case <-signals:
				signalled = true
			case <-time.After(settingsInterval):
			}
			data, err := os.ReadFile(path)
			if err == nil && bytes.Equal(data, last) && !signalled {
				continue
			}
			last = data
			s, err := settings.Load(path)
			if err != nil {
				log.WithError(err).Error("the changed settings can't be used")
				continue
			}
			log.Info("the settings were read again")
			changes <- s
		}
	}()
	return changes
}
