package command

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/vmihailenco/msgpack/v5"

	"granitewing/internal/system/agreement/disk"
	"granitewing/internal/system/ordered"
	"granitewing/internal/system/role/keeper"
	"granitewing/internal/system/session"
)

// inspectRoster prints the disks and the draining machines in a folder of the sessions group.
func inspectRoster(output io.Writer, path string) error {
	member, err := openGroupMember(path)
	if err != nil {
		return err
	}
	state, err := loadSessions(member)
	if err != nil {
		return err
	}
	return printRoster(output, state)
}

// loadSessions rebuilds the session state from the snapshot and the log entries on a member's disk.
func loadSessions(member *disk.Storage) (*session.State, error) {
	stored := member.PersistentState()
	state := session.NewState()
	if len(stored.Snapshot.Data) > 0 {
		if err := state.Restore(stored.Snapshot.Data); err != nil {
			return nil, err
		}
	}
	for _, entry := range stored.Entries {
		if entry.Data == nil {
			continue
		}
		var command session.Command
		if err := msgpack.Unmarshal(entry.Data, &command); err != nil {
			return nil, &session.MalformedError{Err: err}
		}
		_ = state.Apply(command) // a refused command changes nothing
	}
	return state, nil
}

func printRoster(output io.Writer, state *session.State) error {
	fmt.Fprintf(output, "roster %d\n", state.Epoch())
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	for id, entry := range ordered.Map(state.Disks()) {
		fmt.Fprintf(table, "disk\t%s\tof %s\t%s%s\n", id, entry.Member.Node, choose(entry.Counted, "counts", "being filled"), textIf(entry.Leaving, ", being emptied"))
	}
	for _, drain := range state.Drains(keeper.Groups) {
		fmt.Fprintf(table, "emptying\t%s\t%s\twaits for %s\n", drain.Node, choose(drain.Started, "takes no messages", "not begun"), drain.WaitsFor)
	}
	return table.Flush()
}
