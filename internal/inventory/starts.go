package inventory

// Starts converts the wall-clock times at which servers started to this dispatcher's own clock, which is not
// affected by steps of the wall clock. Each start is converted once, when it is first received, and keeps its
// value, so the age of a server is a span of real time. The zero value is ready to use.
//
// A step of the wall clock shows as a difference between the two clocks. It is then unknown whether a server read
// its clock before or after the step, so the lower of the two possible ages counts: the server may receive too
// little work for a while after its start, but never too much.
type Starts struct{ starts map[string]serverStart }

// serverStart is the start time of a server, as reported and on the own clock.
type serverStart struct{ reported, local int64 }

// minClockStep is the difference between the clocks, in microseconds, that counts as a step. It is more than clock
// slewing causes within a day.
const minClockStep = 500_000

// Own converts a reported wall-clock start time to the own clock. wall and now are the present time on both
// clocks, all in microseconds. A reported time of 0 means long ago and stays 0.
func (s *Starts) Own(server string, reported, wall, now int64) int64 {
	if reported <= 0 {
		return 0
	}
	if start, known := s.starts[server]; known && start.reported == reported {
		return start.local
	}
	own := reported
	if stepped := wall-now > minClockStep || now-wall > minClockStep; stepped || reported > now+minClockStep {
		own = now - max(min(wall-reported, now-reported), 0)
	}
	if s.starts == nil {
		s.starts = map[string]serverStart{}
	}
	s.starts[server] = serverStart{reported: reported, local: own}
	return own
}

// Forget removes a server that has gone.
func (s *Starts) Forget(server string) { delete(s.starts, server) }

// Keep removes all servers for which listed returns false.
func (s *Starts) Keep(listed func(server string) bool) {
	for server := range s.starts {
		if !listed(server) {
			delete(s.starts, server)
		}
	}
}
