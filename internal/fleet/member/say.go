package member

import "granitewing/internal/fleet/limit"

// Messages about limits. Each is told anew while it matters, so those that find no room are dropped here as a link drops them.

// Say sends messages, which nobody may change from now on.
func (f *Fleet) Say(out []*limit.Message) {
	if len(out) == 0 {
		return
	}
	select {
	case f.say <- out:
	default:
		f.mu.Lock()
		f.full++
		f.mu.Unlock()
	}
}

func (f *Fleet) utter(out []*limit.Message) {
	there := f.there()
	var b []byte
	for _, m := range out {
		if to := there[m.To.Name]; to != nil {
			b = limit.Append(b[:0], m)
			f.list.SendBestEffort(to, b)
		}
	}
}

// Said gives the messages that have come since the last call.
func (f *Fleet) Said() []*limit.Message {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := f.said
	f.said = nil
	return out
}

// hear takes a message about limits; f.mu is held.
func (f *Fleet) hear(b []byte) {
	switch m, err := limit.Parse(b); {
	case err != nil:
		f.bad++
	case len(f.said) >= waitingMost:
		f.full++
	default:
		f.said = append(f.said, m)
	}
}
