package store

import (
	"sort"

	"granitewing/internal/system/member"
	"granitewing/internal/system/ordered"
	"granitewing/internal/system/wire"
)

// sender copies messages that this disk and too few others hold to other disks.
type sender struct {
	lists    *listReader
	throttle *throttle
	inFlight int // number of calls
}

// send copies each message to as many disks as it lacks, with one call for each disk. It returns the number of
// calls begun.
func (s *sender) send(view *member.View, messages []underReplicatedMessage) (calls int) {
	batches := map[string][]string{}
	candidates := s.candidates(view)
	for i := range messages {
		m := &messages[i]
		targets := s.nonHolders(candidates, m.holders, i)
		zones := make([]string, 0, len(targets))
		for _, disk := range targets {
			zones = append(zones, view.Disks[disk].Member.Zone)
		}
		for _, pick := range s.lists.index.tolerance.ChooseReplicas(m.holderZones(view), zones) {
			if disk := targets[pick]; len(batches[disk]) < maxCopiesPerCall {
				batches[disk] = append(batches[disk], m.id)
			}
		}
	}
	for disk, ids := range ordered.Map(batches) {
		s.copyTo(disk, view.Disks[disk].Member.Address, ids)
	}
	return len(batches)
}

// candidates returns the disks that can take copies, those of this disk's zone first.
func (s *sender) candidates(view *member.View) []string {
	zone := view.Disks[s.lists.disk].Member.Zone
	var disks []string
	for id, other := range view.Disks {
		if id != s.lists.disk && countsAsHolder(other) && s.lists.env.Connected(other.Member.Address) {
			disks = append(disks, id)
		}
	}
	sort.Slice(disks, func(i, j int) bool {
		a, b := view.Disks[disks[i]].Member.Zone == zone, view.Disks[disks[j]].Member.Zone == zone
		if a != b {
			return a
		}
		return disks[i] < disks[j]
	})
	return disks
}

// nonHolders returns the candidates that do not hold a message, those of this disk's zone first. The candidates are
// rotated by offset, so that those of a zone take turns.
func (s *sender) nonHolders(candidates, holders []string, offset int) []string {
	held := map[string]bool{}
	for _, disk := range holders {
		held[disk] = true
	}
	view := s.lists.session.View()
	zone := view.Disks[s.lists.disk].Member.Zone
	var near, far []string
	for i := range candidates {
		disk := candidates[(i+offset)%len(candidates)]
		switch {
		case held[disk]:
		case view.Disks[disk].Member.Zone == zone:
			near = append(near, disk)
		default:
			far = append(far, disk)
		}
	}
	return append(near, far...)
}

// copyTo sends copies of messages to the store of a disk.
func (s *sender) copyTo(disk, address string, ids []string) {
	s.inFlight++
	reader := s.lists // the backfill or drain may have begun again with a new reader by the time of the answer
	s.lists.env.Copies(ids, func(body wire.CopiesBody, err error) {
		if err != nil {
			s.inFlight--
			s.lists.env.LogWarning("can't read under-replicated messages to copy them to other disks", err)
			return
		}
		body.More = false
		payload := wire.Encode(&body)
		s.throttle.add(s.lists.env.Now(), len(payload))
		s.lists.env.Call(address, wire.PutCopies, payload, repairTimeout, func(_ []byte, err error) {
			s.inFlight--
			if err == nil {
				reader.recordCopies(disk, body.Messages)
			}
		})
	})
}
