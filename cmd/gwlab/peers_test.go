package main

import (
	"fmt"
	"path/filepath"
	"testing"

	"granitewing/internal/lab/experiment"
)

// sharedState returns settings with which the dispatchers of an experiment exchange reports over the mesh.
func sharedState(more string) string {
	return fmt.Sprintf(`(settings "(granitewing (fleet (label \"t\") (bind \"{gossip}\") (advertise \"{told}\") (join {seeds}) (every 100ms) %s))")`, more)
}

// runSharing runs twelve processes that exchange reports, in three zones of four.
func runSharing(t *testing.T, length, more, faults string) *experiment.Outcome {
	t.Helper()
	path := writeExperiment(t, fmt.Sprintf(smallFleet, length, "4s", "4s", sharedState(more)+faults))
	o, log, code := runFleet(t, path, "--program", filepath.Join(filepath.Dir(gwlab), "granitewing-fleet"), "--seed", "4")
	if code != 0 || o.Audit.Broken() > 0 {
		t.Fatalf("exit %d\n%s\n%s", code, o.Audit, log)
	}
	if all := o.Rows[len(o.Rows)-1]; all.InTime*10 < all.Asked*8 {
		t.Errorf("%d of %d in time", all.InTime, all.Asked)
	}
	return o
}

// peerRange gives the least and the largest number of peers that a dispatcher may receive reports from. A negative
// largest number means that the dispatcher itself does not answer.
type peerRange func(dispatcher int) (least, most float64)

// expectPeers checks how many peers each dispatcher receives reports from in a snapshot.
func expectPeers(t *testing.T, l experiment.Snapshot, want peerRange) {
	t.Helper()
	for i, f := range l.Metrics {
		least, most := want(i)
		if n, answers := f["router_fleet_heard"]; answers != (most >= 0) || n < least || n > max(most, 0) {
			t.Errorf("%g s: dispatcher %d receives reports from %v peers (it answers: %t), want %v to %v", l.At, i, n, answers, least, most)
		}
	}
}

// allPeers: every dispatcher receives reports from all others.
func allPeers(int) (float64, float64) { return 11, 11 }

// zonePeers gives the number of peers for dispatchers of the first zone, and for the rest.
func zonePeers(inside, rest float64) peerRange {
	return func(i int) (float64, float64) {
		if i%3 == 0 {
			return inside, inside
		}
		return rest, rest
	}
}

// between covers dispatchers that others gradually declare dead although their own reception works: any number from
// least to most.
func between(least, most peerRange) peerRange {
	return func(i int) (float64, float64) {
		lo, _ := least(i)
		_, hi := most(i)
		return lo, hi
	}
}

// Links between dispatchers fail while they exchange reports. A dispatcher that is cut off is no longer counted
// after the stated time, the others still are, and each receives reports from all again once the links are healed,
// even if the others had declared it dead.
func TestPeersCutOff(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		faults     string
		soon, late peerRange // 2.8 s after the cut, when reports have expired; and when failure detection has declared the peers dead
	}{
		"a zone, both ways":     {`(of (zone dakar)) (peers others)`, zonePeers(3, 7), zonePeers(3, 7)},
		"a zone, inbound cut":   {`(of (zone dakar)) (peers others) (way to)`, zonePeers(3, 11), between(zonePeers(3, 7), zonePeers(3, 11))},
		"a zone, outbound cut":  {`(of (zone dakar)) (peers others) (way from)`, zonePeers(11, 7), between(zonePeers(3, 7), zonePeers(11, 7))},
		"a zone, by resets":     {`(of (zone dakar)) (peers others) (manner reset)`, zonePeers(3, 7), zonePeers(3, 7)},
		"one, without any peer": {`(of (names n4)) (peers others)`, isolatedN4, isolatedN4},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := runSharing(t, "23s", "", `(link (at 3s) (for 10s) `+c.faults+`) (look (at 5800ms)) (look (at 12s)) (look (at 22s))`)
			if len(o.Snapshots) != 3 {
				t.Fatalf("%d snapshots", len(o.Snapshots))
			}
			expectPeers(t, o.Snapshots[0], c.soon)
			expectPeers(t, o.Snapshots[1], c.late)
			expectPeers(t, o.Snapshots[2], allPeers)
		})
	}
}

// isolatedN4: n4 receives reports from nobody, and nobody from n4.
func isolatedN4(i int) (float64, float64) {
	if i == 4 {
		return 0, 0
	}
	return 10, 10
}

// A dispatcher that is paused for longer than the failure detection time-out is not counted in the meantime, and is
// counted again afterwards.
func TestPausedPeer(t *testing.T) {
	t.Parallel()
	o := runSharing(t, "22s", "", `(pause-dispatcher (at 2s) (for 10s) (of (names n4))) (look (at 9s)) (look (at 21s))`)
	expectPeers(t, o.Snapshots[0], func(i int) (float64, float64) {
		if i == 4 {
			return 0, -1 // it does not answer
		}
		return 10, 10
	})
	expectPeers(t, o.Snapshots[1], allPeers)
}

// Three hubs aggregate reports for the other members. A quarter of all members is paused, hubs among them. The
// others switch to a hub that answers and receive each other's reports although failure detection has declared
// nobody dead yet; afterwards everyone receives reports from all.
func TestPausedHubs(t *testing.T) {
	t.Parallel()
	// The hubs, by hash of their names, are n6, n7 and n4. Two of them are paused, and one member that is not a hub.
	paused := map[int]bool{6: true, 7: true, 2: true}
	o := runSharing(t, "22s", "(hubs 3)", `(pause-dispatcher (at 2s) (for 10s) (of (names n6 n7 n2))) (look (at 6300ms)) (look (at 21s))`)
	expectPeers(t, o.Snapshots[0], func(i int) (float64, float64) {
		if paused[i] {
			return 0, -1 // it does not answer
		}
		return 7, 9 // a dispatcher that is switching its hub may be missing or counted twice
	})
	expectPeers(t, o.Snapshots[1], allPeers)
}

// Datagrams are lost, delayed, duplicated and reordered. Reports that arrive after a newer one are refused, and
// nobody is declared dead.
func TestPeersOnPoorLinks(t *testing.T) {
	t.Parallel()
	o := runSharing(t, "16s", "", `(link (at 1s) (for 14s) (of (share 100%)) (peers all) (manner late) (delay 500ms) (spread 300ms) (loss 30%) (twice 10%)) (look (at 14s))`)
	expectPeers(t, o.Snapshots[0], func(int) (float64, float64) { return 10, 11 })
	for i, f := range o.Snapshots[0].Metrics {
		if f[`router_fleet_refused_total{cause="old"}`] == 0 {
			t.Errorf("dispatcher %d refused nothing though reports were reordered", i)
		}
	}
	if o.Traffic == nil || o.Traffic.Lost < o.Traffic.Datagrams/10 {
		t.Errorf("traffic between dispatchers: %+v", o.Traffic)
	}
}

// Links of clients fail: partial requests, silence and resets end no dispatcher and violate no rule.
func TestClientsCutOff(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]string{
		"silence":        `(way to)`,
		"no answers":     `(way from)`,
		"half a request": `(manner half) (way to)`,
		"half an answer": `(manner half) (way from)`,
		"resets":         `(manner reset)`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			path := writeExperiment(t, fmt.Sprintf(smallFleet, "4s", "4s", "4s", `(link (at 1s) (for 2500ms) (of (share 50%)) (clients) `+fault+`)`))
			o, log, code := runFleet(t, path)
			rows := o.Rows[len(o.Rows)-1]
			if code != 0 || o.Audit.Broken() > 0 || rows.InTime*2 < rows.Asked {
				t.Errorf("exit %d, %d of %d in time\n%s\n%s", code, rows.InTime, rows.Asked, o.Audit, log)
			}
			if rows.InTime == rows.Asked {
				t.Error("no client was affected")
			}
		})
	}
}
