package simulation

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against an ordered message that starts at a worker of one service while an older message of its key,
// accepted before it was sent, still runs at a worker of another service. This happens when a route moves to another
// service while messages of its keys are running or waiting. The unit that orders a message was named after the
// message's service, so the configuration change moved every key to another unit, whose owner did not know what the
// previous owner still had. The scenario moves routes to and fro without other faults.
func TestOrderAcrossServices(t *testing.T) { runMovesFile(t, "routes-move.txt") }

// TestRouteDroppedAndRestored runs a scenario in which a route is removed and restored.
func TestRouteDroppedAndRestored(t *testing.T) { runMovesFile(t, "route-comes-back.txt") }

// TestOwnerLostAfterRouteMove runs a scenario in which carriers are lost that hold messages of a service that the
// configuration no longer uses.
func TestOwnerLostAfterRouteMove(t *testing.T) { runMovesFile(t, "owner-lost-after-a-move.txt") }

// TestRateLimitAfterRouteMove runs a scenario in which messages of many carriers move to a service with a rate limit.
func TestRateLimitAfterRouteMove(t *testing.T) { runMovesFile(t, "paced-after-a-move.txt") }

// runMovesFile runs a scenario with route changes. It fails if a rule is broken or a share is too small.
func runMovesFile(t *testing.T, file string) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "moves", file))
	if err != nil {
		t.Fatal(err)
	}
	scenario, err := Parse(string(text))
	if err != nil {
		t.Fatal(err)
	}
	for _, shortcoming := range findShortcomings(scenario) {
		t.Error(shortcoming)
	}
}

// findShortcomings runs a scenario, and returns the first broken rules and the shares that are too small.
func findShortcomings(scenario *Scenario) []string {
	result, err := Run(scenario)
	if err != nil {
		return []string{err.Error()}
	}
	const most = 8
	found := result.Broken
	if count := len(found); count > most {
		found = append(found[:most:most], fmt.Sprintf("%d rules broken in total", count))
	}
	for _, share := range shares {
		if least := scenario.MinShares[share]; result.Shares[share] < least {
			found = append(found, fmt.Sprintf("share %s is %.3f, want at least %.3f", share, result.Shares[share], least))
		}
	}
	if scenario.Retired > 0 && result.Retired != scenario.Retired {
		found = append(found, fmt.Sprintf("%d machines were drained and removed, want %d", result.Retired, scenario.Retired))
	}
	return found
}

// TestDrawnMoves runs drawn scenarios with route changes and all other faults, half as many as the drawn scenarios
// without route changes.
func TestDrawnMoves(t *testing.T) {
	first, count := scheduleRange()
	if found := failingSchedules(first, max(1, count/2), DrawRouteMoves); len(found) > 0 {
		t.Errorf("%d schedules break rules:\n%s", len(found), strings.Join(found, "\n"))
	}
}
