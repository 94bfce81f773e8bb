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

// exactly wants so many arguments; fewer or more are wrong usage.
func exactly(count int) cobra.PositionalArgs {
	return func(command *cobra.Command, arguments []string) error {
		if err := cobra.ExactArgs(count)(command, arguments); err != nil {
			return &usageError{err: err}
		}
		return nil
	}
}

// group is a verb that needs another word.
func group(use, short, example string, verbs ...*cobra.Command) *cobra.Command {
	command := &cobra.Command{Use: use, Short: short, Example: example, RunE: func(command *cobra.Command, _ []string) error {
		return &usageError{err: &missingVerbError{command: command.CommandPath()}}
	}}
	command.AddCommand(verbs...)
	return command
}

// missingVerbError tells that a word is missing or unknown.
type missingVerbError struct{ command string }

func (e *missingVerbError) Error() string {
	return fmt.Sprintf("%s needs one of its verbs; see %s --help", e.command, e.command)
}

func newCheck() *cobra.Command {
	checkSettings := &cobra.Command{
		Use: "settings FILE", Short: "Check a settings file", Args: exactly(1),
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
		Use: "configuration FILE", Short: "Check an operator's configuration", Args: exactly(1),
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
	return group("check", "Check files before they are used", "  granitewing check configuration next.json", checkSettings, checkConfiguration)
}

func newInspect() *cobra.Command {
	messages := &cobra.Command{
		Use: "messages FOLDER", Short: "Tell what a store's log holds; the store must not be running", Args: exactly(1),
		Example: "  granitewing inspect messages /data/store/messages",
		RunE: func(command *cobra.Command, arguments []string) error {
			return inspectMessages(command, arguments[0])
		},
	}
	control := &cobra.Command{
		Use: "control FOLDER", Short: "Tell what a keeper's log of one group holds; the keeper must not be running", Args: exactly(1),
		Example: "  granitewing inspect control /data/keeper/control-0",
		RunE: func(command *cobra.Command, arguments []string) error {
			return inspectControl(command, arguments[0])
		},
	}
	roster := &cobra.Command{
		Use: "roster FOLDER", Short: "Tell which disks and emptyings a keeper's sessions have", Args: exactly(1),
		Long:    "Tell which disks and emptyings the sessions' group has in a keeper's folder. Entries that may not be committed are among them.",
		Example: "  granitewing inspect roster /data/keeper/control-1",
		RunE: func(command *cobra.Command, arguments []string) error {
			return inspectRoster(command.OutOrStdout(), arguments[0])
		},
	}
	return group("inspect", "Tell what lies on a disk", "  granitewing inspect messages /data/store/messages", messages, control, roster)
}

// readOnly is a folder that nothing is written to: what a log would create is thrown away.
type readOnly struct{ *segment.Folder }

type nowhere struct{}

func (nowhere) Write(data []byte) (int, error)       { return len(data), nil }
func (nowhere) ReadAt([]byte, int64) (int, error)    { return 0, os.ErrClosed }
func (nowhere) Close() error                         { return nil }
func (nowhere) Sync() error                          { return nil }
func (readOnly) Create(string) (segment.File, error) { return nowhere{}, nil }
func (readOnly) Remove(string) error                 { return nil }
func (readOnly) SyncFolder() error                   { return nil }

func openReadOnly(path string) (segment.Files, error) {
	if _, err := os.Stat(path); err != nil {
		return nil, &segment.FileError{Operation: "open", Name: path, Err: err}
	}
	folder, err := segment.OpenFolder(path)
	return readOnly{folder}, err
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
	known, pending := core.Counts()
	output := command.OutOrStdout()
	fmt.Fprintf(output, "disk %s, complete %t: %d messages known, %d pending, %d bytes\n", core.Disk(), core.Complete(), known, pending, core.Bytes())
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
	member, err := openMember(path)
	if err != nil {
		return err
	}
	stored := member.Stored()
	fmt.Fprintf(command.OutOrStdout(), "member %s: term %d, vote %q, snapshot at %d, %d entries behind it, voters %v\n", member.ID(),
		stored.HardState.Term, stored.HardState.Vote, stored.Snapshot.Index, len(stored.Entries), stored.Snapshot.Members.Voters)
	return nil
}

// openMember reads what a folder has of a group's member, without changing it.
func openMember(path string) (*disk.Member, error) {
	files, err := openReadOnly(path)
	if err != nil {
		return nil, err
	}
	return disk.Open(files, disk.Identity{ID: "(empty disk)"})
}
