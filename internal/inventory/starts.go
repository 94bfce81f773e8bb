package inventory

// Starts turns the wall-clock times at which servers started into times of this dispatcher's own clock, which runs on evenly
// when the wall clock is stepped. Each is turned once, when it is first heard, and holds from then on: the age of a server
// is a span of real time.
//
// A step shows as the two clocks drifting apart. From then on it is not known on which side of the step a server read its
// clock, so it counts as of the lower of the two ages that follow: it may be given too little work for a while after its
// start, but never too much.
type Starts struct{ starts map[string]serverStart }

// serverStart is when a server started, as it was told and as it counts.
type serverStart struct{ reported, local int64 }

// stepLeast is by how many microseconds the clocks have to differ before that counts as a step: more than slewing brings
// about within a day.
const minClockStep = 500_000

// Own gives the own time of a start that was told in wall-clock time. wall and now are the present time on both clocks, all
// in microseconds; 0 told means long ago, and stays so.
func (s *Starts) Own(server string, told, wall, now int64) int64 {
	if told <= 0 {
		return 0
	}
	if k, known := s.starts[server]; known && k.reported == told {
		return k.local
	}
	own := told
	if stepped := wall-now > minClockStep || now-wall > minClockStep; stepped || told > now+minClockStep {
		own = now - max(min(wall-told, now-told), 0)
	}
	if s.starts == nil {
		s.starts = map[string]serverStart{}
	}
	s.starts[server] = serverStart{reported: told, local: own}
	return own
}

// Forget lets go of a server that has gone.
func (s *Starts) Forget(server string) { delete(s.starts, server) }

// Keep forgets all servers but those that the list names.
func (s *Starts) Keep(listed func(server string) bool) {
	for server := range s.starts {
		if !listed(server) {
			delete(s.starts, server)
		}
	}
}
