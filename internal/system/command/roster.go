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

// inspectRoster prints what a folder of the sessions' group knows of disks and of machines that are being emptied.
func inspectRoster(output io.Writer, path string) error {
	member, err := openMember(path)
	if err != nil {
		return err
	}
	state, err := sessionsOf(member)
	if err != nil {
		return err
	}
	return printRoster(output, state)
}

// sessionsOf makes the table of sessions that a member's disk has.
func sessionsOf(member *disk.Member) (*session.State, error) {
	stored := member.Stored()
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
		_ = state.Apply(command) // what is refused has changed nothing
	}
	return state, nil
}

func printRoster(output io.Writer, state *session.State) error {
	fmt.Fprintf(output, "roster %d\n", state.Epoch())
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	for id, entry := range ordered.Map(state.Disks()) {
		fmt.Fprintf(table, "disk\t%s\tof %s\t%s%s\n", id, entry.Member.Node, pick(entry.Counted, "counts", "being filled"), mark(entry.Leaving, ", being emptied"))
	}
	for _, emptying := range state.Emptyings(keeper.Groups) {
		fmt.Fprintf(table, "emptying\t%s\t%s\twaits for %s\n", emptying.Node, pick(emptying.Begun, "takes no messages", "not begun"), emptying.Waits)
	}
	return table.Flush()
}
