// Package command implements the command line of the system: a subcommand for each role, and subcommands with which
// operators check files, inspect disks and query a running keeper. Execute runs it.
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
	exitUsage  = 2 // wrong arguments or settings
)

// usageError marks an error that the caller has to correct in the arguments or settings.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }

func (e *usageError) Unwrap() error { return e.err }

// Execute runs the command line and returns the exit code: 0 on success, 2 for wrong arguments or settings, else 1.
// Errors go to errorOutput as one line, and log records in logfmt.
func Execute(arguments []string, output, errorOutput io.Writer) int {
	log.SetHandler(logfmt.New(errorOutput))
	root := newRoot()
	root.SetArgs(arguments)
	root.SetOut(output)
	root.SetErr(errorOutput)
	err := root.Execute()
	if err == nil {
		return 0
	}
	fmt.Fprintln(errorOutput, "granitewing:", err)
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
		Short:         "Ingest and dispatch service: accepts messages, stores them and delivers each to the worker of least cost",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &usageError{err: err} })
	root.AddCommand(
		newRole("carrier", "Accept clients' messages and deliver them", node.RunCarrier),
		newRole("keeper", "Keep the replicated control state: configuration, sessions and ownership", node.RunKeeper),
		newRole("store", "Store messages on disk", node.RunStore),
		newCheck(), newInspect(), newStatus(),
	)
	return root
}

// roleFunc runs a role until ctx is done. It receives changed settings on changes.
type roleFunc func(ctx context.Context, s *settings.Settings, changes <-chan *settings.Settings) error

func newRole(name, short string, run roleFunc) *cobra.Command {
	return &cobra.Command{
		Use:     name,
		Short:   short,
		Long:    short + ".\nThe environment variable " + settings.PathVariable + " holds the path of the settings file; the default is " + settings.DefaultPath + ".",
		Example: "  " + settings.PathVariable + "=local.toml granitewing " + name,
		Args: func(command *cobra.Command, arguments []string) error {
			if err := cobra.NoArgs(command, arguments); err != nil {
				return &usageError{err: err}
			}
			return nil
		},
		RunE: func(*cobra.Command, []string) error { return runUntilSignal(run) },
	}
}

// runUntilSignal loads the settings and runs a role until the process receives SIGTERM or an interrupt.
func runUntilSignal(run roleFunc) error {
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

// memoryLimitShare is the share of the memory limit in the settings that the garbage collector tries to stay below.
const memoryLimitShare = 0.75

// limitMemory sets the memory limit of the Go runtime from the settings.
func limitMemory(s *settings.Settings) {
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.Limits.MemoryMB) * (1 << 20)))
	}
}

const settingsPollInterval = 2 * time.Second

// watchSettings reloads the settings file on SIGHUP and whenever a poll finds that it has changed. The new settings are
// sent on the returned channel, which is closed when ctx is done. A file that is not valid changes nothing. A running
// role applies only the new seeds: its addresses and limits stay as they were at its start.
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
			case <-time.After(settingsPollInterval):
			}
			data, err := os.ReadFile(path)
			if err == nil && bytes.Equal(data, last) && !signalled {
				continue
			}
			last = data
			s, err := settings.Load(path)
			if err != nil {
				log.WithError(err).Error("cannot load the settings file, keeping the previous settings")
				continue
			}
			log.Info("settings reloaded")
			changes <- s
		}
	}()
	return changes
}
