package store

import (
	"sort"

	"granitewing/internal/system/member"
	"granitewing/internal/system/ordered"
	"granitewing/internal/system/wire"
)

// sender has other disks take copies of messages that lie here and on too few others.
type sender struct {
	lists    *lists
	throttle *throttle
	sending  int // calls that are out
}

// send gives each message to as many disks as it lacks, one call to a disk.
func (s *sender) send(view *member.View, lacking []shortage) (begun int) {
	batches := map[string][]string{}
	candidates := s.candidates(view)
	for turn := range lacking {
		short := &lacking[turn]
		without := s.without(candidates, short.holders, turn)
		zones := make([]string, 0, len(without))
		for _, disk := range without {
			zones = append(zones, view.Disks[disk].Member.Zone)
		}
		for _, pick := range s.lists.census.tolerance.Choose(short.zones(view), zones) {
			if disk := without[pick]; len(batches[disk]) < copiesAtOnce {
				batches[disk] = append(batches[disk], short.id)
			}
		}
	}
	for disk, ids := range ordered.Map(batches) {
		s.copyTo(disk, view.Disks[disk].Member.Address, ids)
	}
	return len(batches)
}

// candidates gives the disks that can take copies, those of this zone first.
func (s *sender) candidates(view *member.View) []string {
	zone := view.Disks[s.lists.disk].Member.Zone
	var disks []string
	for id, other := range view.Disks {
		if id != s.lists.disk && holds(other) && s.lists.env.Up(other.Member.Address) {
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

// without gives candidates that do not hold a message; those of this zone take turns.
func (s *sender) without(candidates, holders []string, turn int) []string {
	held := map[string]bool{}
	for _, disk := range holders {
		held[disk] = true
	}
	view := s.lists.session.View()
	zone := view.Disks[s.lists.disk].Member.Zone
	var near, far []string
	for i := range candidates {
		disk := candidates[(i+turn)%len(candidates)]
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

// copyTo has a store keep copies of messages.
func (s *sender) copyTo(disk, address string, ids []string) {
	s.sending++
	read := s.lists // others may have been begun when the answer comes
	s.lists.env.Copies(ids, func(body wire.CopiesBody, err error) {
		if err != nil {
			s.sending--
			s.lists.env.Report("messages that lie on too few disks can't be read", err)
			return
		}
		body.More = false
		payload := wire.Encode(&body)
		s.throttle.moved(s.lists.env.Now(), len(payload))
		s.lists.env.Call(address, wire.PutCopies, payload, repairTimeout, func(_ []byte, err error) {
			s.sending--
			if err == nil {
				read.noteCopies(disk, body.Messages)
			}
		})
	})
}
