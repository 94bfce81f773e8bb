package simulation

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// What was seen: an ordered message began at a worker of one service while an older one of its key, which had been accepted
// before it was sent, was still run by a worker of another. A change of the route had been acknowledged between the two.
// How it came about: a route is given to another service while messages of its keys are out or wait.
// Cause: the unit that orders a message was named by the message's service, so that the change moved every key to another unit,
// whose owner knew nothing of what the former one still had. Proven by the scenario of this test, which moves routes to and fro in
// an otherwise calm day, and by the operators' figures of workers, where all runs of the ordered route move with each change of it.
func TestOrderAcrossServices(t *testing.T) { playMoves(t, "routes-move.txt") }

// TestRouteComesBack plays a route that is taken away and comes back.
func TestRouteComesBack(t *testing.T) { playMoves(t, "route-comes-back.txt") }

// TestOwnerLostAfterAMove plays the loss of carriers that hold messages of a service that the configuration has no more use for.
func TestOwnerLostAfterAMove(t *testing.T) { playMoves(t, "owner-lost-after-a-move.txt") }

// TestPacedAfterAMove plays messages of many carriers that are given to a service with a rate.
func TestPacedAfterAMove(t *testing.T) { playMoves(t, "paced-after-a-move.txt") }

// playMoves plays a scenario of routes that move, and fails where a rule is broken or too little was served.
func playMoves(t *testing.T, file string) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "moves", file))
	if err != nil {
		t.Fatal(err)
	}
	scenario, err := Parse(string(text))
	if err != nil {
		t.Fatal(err)
	}
	for _, shortcoming := range shortcomings(scenario) {
		t.Error(shortcoming)
	}
}

// shortcomings plays a scenario, and gives the first rules that were broken and the shares that fell short.
func shortcomings(scenario *Scenario) []string {
	result, err := Play(scenario)
	if err != nil {
		return []string{err.Error()}
	}
	const most = 8
	found := result.Broken
	if count := len(found); count > most {
		found = append(found[:most:most], fmt.Sprintf("%d rules broken in all", count))
	}
	for _, share := range shares {
		if least := scenario.Least[share]; result.Shares[share] < least {
			found = append(found, fmt.Sprintf("share %s is %.3f, least %.3f", share, result.Shares[share], least))
		}
	}
	if scenario.Retired > 0 && result.Retired != scenario.Retired {
		found = append(found, fmt.Sprintf("%d machines were emptied, want %d", result.Retired, scenario.Retired))
	}
	return found
}

// TestDrawnMoves plays drawn schedules in which routes are given to other services beside all other troubles, half as many as of
// the drawn ones without.
func TestDrawnMoves(t *testing.T) {
	first, count := schedules()
	if found := breaking(first, max(1, count/2), DrawMoves); len(found) > 0 {
		t.Errorf("%d schedules break rules:\n%s", len(found), strings.Join(found, "\n"))
	}
}
