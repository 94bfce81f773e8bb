package command

import (
	"fmt"
	"os"
	"sort"

	"github.com/spf13/cobra"

	"granitewing/internal/system/agreement/disk"
	"granitewing/internal/system/configuration"
	"granitewing/internal/system/role/store"
	"granitewing/internal/system/segment"
	"granitewing/internal/system/settings"
)

// exactArgs returns a check for an exact number of arguments, whose failure is a usage error.
func exactArgs(count int) cobra.PositionalArgs {
	return func(command *cobra.Command, arguments []string) error {
		if err := cobra.ExactArgs(count)(command, arguments); err != nil {
			return &usageError{err: err}
		}
		return nil
	}
}

// newVerbGroup returns a command that needs one of its subcommands; it is a usage error without one.
func newVerbGroup(use, short, example string, verbs ...*cobra.Command) *cobra.Command {
	command := &cobra.Command{Use: use, Short: short, Example: example, RunE: func(command *cobra.Command, _ []string) error {
		return &usageError{err: &missingVerbError{command: command.CommandPath()}}
	}}
	command.AddCommand(verbs...)
	return command
}

// missingVerbError is the error for a missing or unknown subcommand.
type missingVerbError struct{ command string }

func (e *missingVerbError) Error() string {
	return fmt.Sprintf("%s requires a subcommand; see %s --help", e.command, e.command)
}

func newCheck() *cobra.Command {
	checkSettings := &cobra.Command{
		Use: "settings FILE", Short: "Check a settings file", Args: exactArgs(1),
		Example: "  granitewing check settings /etc/granitewing/local.toml",
		RunE: func(command *cobra.Command, arguments []string) error {
			s, err := settings.Load(arguments[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(command.OutOrStdout(), "%s in zone %s, %d seeds, %d machines, %d zones or %d regions may be lost\n",
				s.NodeName, s.Zone, len(s.Seeds), s.Tolerance.Machines, s.Tolerance.Zones, s.Tolerance.Regions)
			return nil
		},
	}
	checkConfiguration := &cobra.Command{
		Use: "configuration FILE", Short: "Check an operator's configuration document", Args: exactArgs(1),
		Example: "  granitewing check configuration next.json",
		RunE: func(command *cobra.Command, arguments []string) error {
			raw, err := os.ReadFile(arguments[0])
			if err != nil {
				return &segment.FileError{Operation: "read", Name: arguments[0], Err: err}
			}
			document, err := configuration.Parse(raw)
			if err != nil {
				return err
			}
			fmt.Fprintf(command.OutOrStdout(), "version %d: %d routes, %d services\n", document.Version, len(document.Routes), len(document.Services))
			return nil
		},
	}
	return newVerbGroup("check", "Validate files before they are used", "  granitewing check configuration next.json", checkSettings, checkConfiguration)
}

func newInspect() *cobra.Command {
	messages := &cobra.Command{
		Use: "messages FOLDER", Short: "Show the contents of a store's log; the store must not be running", Args: exactArgs(1),
		Example: "  granitewing inspect messages /data/store/messages",
		RunE: func(command *cobra.Command, arguments []string) error {
			return inspectMessages(command, arguments[0])
		},
	}
	control := &cobra.Command{
		Use: "control FOLDER", Short: "Show the contents of a keeper's log of one replica group; the keeper must not be running", Args: exactArgs(1),
		Example: "  granitewing inspect control /data/keeper/control-0",
		RunE: func(command *cobra.Command, arguments []string) error {
			return inspectControl(command, arguments[0])
		},
	}
	roster := &cobra.Command{
		Use: "roster FOLDER", Short: "Show the disks and drains in a keeper's log of the sessions group", Args: exactArgs(1),
		Long:    "Show the disks and drains in a keeper's log of the sessions group, including log entries that may not be committed.",
		Example: "  granitewing inspect roster /data/keeper/control-1",
		RunE: func(command *cobra.Command, arguments []string) error {
			return inspectRoster(command.OutOrStdout(), arguments[0])
		},
	}
	return newVerbGroup("inspect", "Show the contents of a disk", "  granitewing inspect messages /data/store/messages", messages, control, roster)
}

// readOnlyDirectory is a directory that is never modified: files that a log creates in it are discarded.
type readOnlyDirectory struct{ *segment.OSDirectory }

// discardFile is a file that discards writes and has nothing to read.
type discardFile struct{}

func (discardFile) Write(data []byte) (int, error)            { return len(data), nil }
func (discardFile) ReadAt([]byte, int64) (int, error)         { return 0, os.ErrClosed }
func (discardFile) Close() error                              { return nil }
func (discardFile) Sync() error                               { return nil }
func (readOnlyDirectory) Create(string) (segment.File, error) { return discardFile{}, nil }
func (readOnlyDirectory) Remove(string) error                 { return nil }
func (readOnlyDirectory) SyncDir() error                      { return nil }

// openReadOnly opens an existing folder without modifying it.
func openReadOnly(path string) (segment.Directory, error) {
	if _, err := os.Stat(path); err != nil {
		return nil, &segment.FileError{Operation: "open", Name: path, Err: err}
	}
	folder, err := segment.OpenDirectory(path)
	return readOnlyDirectory{folder}, err
}

func inspectMessages(command *cobra.Command, path string) error {
	files, err := openReadOnly(path)
	if err != nil {
		return err
	}
	log, err := segment.Open(files, 0)
	if err != nil {
		return err
	}
	core := store.New(store.Options{}, log, 0)
	records := map[uint64]int{}
	err = log.Replay(func(position segment.Position, payload []byte) error {
		records[position.Segment]++
		return core.Load(position, payload)
	})
	if err != nil {
		return err
	}
	recorded, pending := core.Counts()
	output := command.OutOrStdout()
	fmt.Fprintf(output, "disk %s, complete %t: %d messages known, %d pending, %d bytes\n", core.DiskID(), core.Complete(), recorded, pending, core.LogBytes())
	numbers := make([]uint64, 0, len(records))
	for number := range records {
		numbers = append(numbers, number)
	}
	sort.Slice(numbers, func(i, j int) bool { return numbers[i] < numbers[j] })
	for _, number := range numbers {
		fmt.Fprintf(output, "segment %016x: %d records\n", number, records[number])
	}
	return nil
}

func inspectControl(command *cobra.Command, path string) error {
	member, err := openGroupMember(path)
	if err != nil {
		return err
	}
	stored := member.PersistentState()
	fmt.Fprintf(command.OutOrStdout(), "member %s: term %d, vote %q, snapshot at %d, %d entries behind it, voters %v\n", member.ID(),
		stored.HardState.Term, stored.HardState.Vote, stored.Snapshot.Index, len(stored.Entries), stored.Snapshot.Members.Voters)
	return nil
}

// openGroupMember reads the state of a replica group's member from a folder, without modifying it.
func openGroupMember(path string) (*disk.Storage, error) {
	files, err := openReadOnly(path)
	if err != nil {
		return nil, err
	}
	return disk.Open(files, disk.Identity{ID: "(empty disk)"})
}
