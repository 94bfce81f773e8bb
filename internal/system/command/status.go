package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"granitewing/internal/system/node"
	"granitewing/internal/system/role/keeper"
	"granitewing/internal/system/session"
)

const (
	statusTimeout  = 5 * time.Second
	maxStatusBytes = 16 << 20
)

// KeeperError is the error for a keeper whose status cannot be fetched or decoded.
type KeeperError struct {
	Address string // control address, as given on the command line
	Err     error
}

func (e *KeeperError) Error() string { return fmt.Sprintf("keeper at %s: %v", e.Address, e.Err) }

func (e *KeeperError) Unwrap() error { return e.Err }

func newStatus() *cobra.Command {
	var asJSON bool
	command := &cobra.Command{
		Use: "status ADDRESS", Short: "Show what a running keeper knows of the fleet", Args: exactArgs(1),
		Long:    "Show what a running keeper knows of the fleet. ADDRESS is the keeper's control address.",
		Example: "  granitewing status 10.0.0.4:8001",
		RunE: func(command *cobra.Command, arguments []string) error {
			raw, err := fetchStatus(command.Context(), arguments[0])
			if err != nil {
				return &KeeperError{Address: arguments[0], Err: err}
			}
			if asJSON {
				_, err := fmt.Fprintln(command.OutOrStdout(), string(raw))
				return err
			}
			var status keeper.Status
			if err := json.Unmarshal(raw, &status); err != nil {
				return &KeeperError{Address: arguments[0], Err: err}
			}
			return printStatus(command.OutOrStdout(), &status)
		},
	}
	command.Flags().BoolVar(&asJSON, "json", false, "print the keeper's answer as JSON")
	return command
}

func fetchStatus(ctx context.Context, address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+node.StatusPath, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, &node.StatusError{Call: "GET " + node.StatusPath, Status: response.StatusCode}
	}
	return io.ReadAll(io.LimitReader(response.Body, maxStatusBytes))
}

// printStatus prints a status as a table for operators.
func printStatus(output io.Writer, status *keeper.Status) error {
	fmt.Fprintf(output, "keeper %s: configuration %d, roster %d", status.Keeper, status.Configuration, status.Roster)
	if status.CatalogAge != "" {
		fmt.Fprintf(output, ", list of workers read %s ago", status.CatalogAge)
	}
	fmt.Fprintln(output)
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	for _, group := range status.Groups {
		fmt.Fprintf(table, "group\t%s\tleader %s\tterm %d\tapplied %d\tvoters %d, learners %d%s\n", group.Name, nameOrNobody(group.Leader),
			group.Term, group.Applied, len(group.Voters), len(group.Learners), quorumHealth(group.SurvivesLoss))
	}
	units := map[string]int{}
	for _, unit := range status.Units {
		units[unit.Owner]++
	}
	for _, m := range status.Members {
		owns := ""
		if m.Role == string(session.Carrier) {
			owns = fmt.Sprintf("owns %d units", units[m.Incarnation])
		}
		fmt.Fprintf(table, "%s\t%s\tzone %s\t%s\t%s\t%s%s\n", m.Role, m.Node, m.Zone, m.Address, m.Incarnation, owns,
			textIf(m.Stopping, ", stopping"))
	}
	for _, disk := range status.Disks {
		fmt.Fprintf(table, "disk\t%s\tof %s\t%s%s%s\n", disk.Disk, disk.Node, choose(disk.Live, "live", "gone"),
			choose(disk.Counted, ", counts", ", being filled"), textIf(disk.Leaving, ", being emptied"))
	}
	for _, drain := range status.Drains {
		fmt.Fprintf(table, "emptying\t%s\tfor %s or more\t%s\twaits for %s\n", drain.Node, drain.Age, choose(drain.Started, "takes no messages", "not begun"), drain.WaitsFor)
	}
	if status.CatalogAge == "" {
		status.Services = nil // only the leader of the sessions group reads the list of workers
	}
	for _, service := range status.Services {
		fmt.Fprintf(table, "service\t%s\tworkers %d\tdraining %d\n", service.Service, service.Workers, service.Draining)
	}
	for _, departed := range status.Departed {
		fmt.Fprintf(table, "departed\t%s\tadopted by %s\n", departed.Incarnation, nameOrNobody(departed.Adopter))
	}
	return table.Flush()
}

// quorumHealth describes whether a group survives the tolerated losses, as its leader reports it; others report
// nothing.
func quorumHealth(whole *bool) string {
	if whole == nil {
		return ""
	}
	return choose(*whole, ", whole", ", NOT whole: it may not bear the next loss")
}

// nameOrNobody returns name, or "nobody" if it is empty.
func nameOrNobody(name string) string { return choose(name != "", name, "nobody") }

// textIf returns text if the condition holds, else "".
func textIf(condition bool, text string) string { return choose(condition, text, "") }

// choose returns one of two texts by a condition.
func choose(condition bool, whenTrue, whenFalse string) string {
	if condition {
		return whenTrue
	}
	return whenFalse
}
