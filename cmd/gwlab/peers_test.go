package main

import (
	"fmt"
	"path/filepath"
	"testing"

	"granitewing/internal/lab/experiment"
)

// sharing has the dispatchers of an experiment take part in a fleet, over the rig's links.
func sharing(more string) string {
	return fmt.Sprintf(`(settings "(granitewing (fleet (label \"t\") (bind \"{gossip}\") (advertise \"{told}\") (join {seeds}) (every 100ms) %s))")`, more)
}

// share plays twelve processes that share, in three zones of four.
func share(t *testing.T, length, more, faults string) *experiment.Outcome {
	t.Helper()
	path := write(t, fmt.Sprintf(few, length, "4s", "4s", sharing(more)+faults))
	o, log, code := fleetOf(t, path, "--program", filepath.Join(filepath.Dir(gwlab), "granitewing-fleet"), "--seed", "4")
	if code != 0 || o.Audit.Broken() > 0 {
		t.Fatalf("exit %d\n%s\n%s", code, o.Audit, log)
	}
	if all := o.Rows[len(o.Rows)-1]; all.InTime*10 < all.Asked*8 {
		t.Errorf("%d of %d in time", all.InTime, all.Asked)
	}
	return o
}

// heard is how many others each dispatcher may hear.
type heard func(dispatcher int) (least, most float64)

// expectHeard compares how many others each dispatcher hears at a look.
func expectHeard(t *testing.T, l experiment.Look, want heard) {
	t.Helper()
	for i, f := range l.Figures {
		least, most := want(i)
		if n, answers := f["router_fleet_heard"]; answers != (most >= 0) || n < least || n > max(most, 0) {
			t.Errorf("%g s: dispatcher %d hears %v others (it answers: %t), want %v to %v", l.At, i, n, answers, least, most)
		}
	}
}

// all is that every dispatcher hears all others.
func all(int) (float64, float64) { return 11, 11 }

// zone is how many others those of the first zone hear, and the rest.
func zone(inside, rest float64) heard {
	return func(i int) (float64, float64) {
		if i%3 == 0 {
			return inside, inside
		}
		return rest, rest
	}
}

// upTo is what those hear who are given up by others that they hear well: fewer and fewer.
func upTo(least, most heard) heard {
	return func(i int) (float64, float64) {
		lo, _ := least(i)
		_, hi := most(i)
		return lo, hi
	}
}

// Links between dispatchers fail while they share: who is cut off is not counted after the stated time, who is there is, and
// each hears all again once the links are whole, though the others took it for dead meanwhile.
func TestPeersCutOff(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		faults     string
		soon, late heard // 2.8 s after the cut, when news is too old; and when failure detection has given them up
	}{
		"a zone, both ways":           {`(of (zone dakar)) (peers others)`, zone(3, 7), zone(3, 7)},
		"a zone, which hears nothing": {`(of (zone dakar)) (peers others) (way to)`, zone(3, 11), upTo(zone(3, 7), zone(3, 11))},
		"a zone, which is not heard":  {`(of (zone dakar)) (peers others) (way from)`, zone(11, 7), upTo(zone(3, 7), zone(11, 7))},
		"a zone, by resets":           {`(of (zone dakar)) (peers others) (manner reset)`, zone(3, 7), zone(3, 7)},
		"one, without any peer":       {`(of (names n4)) (peers others)`, alone, alone},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := share(t, "23s", "", `(link (at 3s) (for 10s) `+c.faults+`) (look (at 5800ms)) (look (at 12s)) (look (at 22s))`)
			if len(o.Looks) != 3 {
				t.Fatalf("%d looks", len(o.Looks))
			}
			expectHeard(t, o.Looks[0], c.soon)
			expectHeard(t, o.Looks[1], c.late)
			expectHeard(t, o.Looks[2], all)
		})
	}
}

// alone is that n4 hears nobody, and nobody n4.
func alone(i int) (float64, float64) {
	if i == 4 {
		return 0, 0
	}
	return 10, 10
}

// One that stands still past the time after which the others give it up is not counted meanwhile, and is again afterwards.
func TestPeerThatStandsStill(t *testing.T) {
	t.Parallel()
	o := share(t, "22s", "", `(pause-dispatcher (at 2s) (for 10s) (of (names n4))) (look (at 9s)) (look (at 21s))`)
	expectHeard(t, o.Looks[0], func(i int) (float64, float64) {
		if i == 4 {
			return 0, -1 // it does not answer
		}
		return 10, 10
	})
	expectHeard(t, o.Looks[1], all)
}

// Three members sum for the others; a quarter of all stands still, hubs or not: the others go to a hub that answers, and hear
// each other though membership has given up nobody yet; afterwards all hear all.
func TestHubsThatStandStill(t *testing.T) {
	t.Parallel()
	// The hubs, by hash of their names, are n6, n7 and n4; two of them stand still, and one that is none.
	still := map[int]bool{6: true, 7: true, 2: true}
	o := share(t, "22s", "(hubs 3)", `(pause-dispatcher (at 2s) (for 10s) (of (names n6 n7 n2))) (look (at 6300ms)) (look (at 21s))`)
	expectHeard(t, o.Looks[0], func(i int) (float64, float64) {
		if still[i] {
			return 0, -1 // it does not answer
		}
		return 7, 9 // one that changes its hub just now may be missing, or be there twice
	})
	expectHeard(t, o.Looks[1], all)
}

// Datagrams that are lost, late, doubled and out of order: news that was overtaken is refused, and nobody is taken for dead.
func TestPeersOnPoorLinks(t *testing.T) {
	t.Parallel()
	o := share(t, "16s", "", `(link (at 1s) (for 14s) (of (share 100%)) (peers all) (manner late) (delay 500ms) (spread 300ms) (loss 30%) (twice 10%)) (look (at 14s))`)
	expectHeard(t, o.Looks[0], func(int) (float64, float64) { return 10, 11 })
	for i, f := range o.Looks[0].Figures {
		if f[`router_fleet_refused_total{cause="old"}`] == 0 {
			t.Errorf("dispatcher %d refused nothing though news overtook news", i)
		}
	}
	if o.Talk == nil || o.Talk.Lost < o.Talk.Datagrams/10 {
		t.Errorf("what they said to each other: %+v", o.Talk)
	}
}

// Links of clients fail: halves of requests, silence and resets end no dispatcher and break no rule.
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
			path := write(t, fmt.Sprintf(few, "4s", "4s", "4s", `(link (at 1s) (for 2500ms) (of (share 50%)) (clients) `+fault+`)`))
			o, log, code := fleetOf(t, path)
			rows := o.Rows[len(o.Rows)-1]
			if code != 0 || o.Audit.Broken() > 0 || rows.InTime*2 < rows.Asked {
				t.Errorf("exit %d, %d of %d in time\n%s\n%s", code, rows.InTime, rows.Asked, o.Audit, log)
			}
			if rows.InTime == rows.Asked {
				t.Error("no client saw anything of it")
			}
		})
	}
}
