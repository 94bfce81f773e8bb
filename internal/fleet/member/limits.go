package member

import "granitewing/internal/fleet/limit"

// Messages about limits. Their senders repeat them while they matter, so messages that exceed a queue are dropped here,
// as a network may drop them.

// SendLimitMessages sends messages about limits without waiting; the caller must not change them afterwards. If too
// many batches wait already, it drops this one and counts it.
func (f *Fleet) SendLimitMessages(out []*limit.Message) {
	if len(out) == 0 {
		return
	}
	select {
	case f.outgoingLimits <- out:
	default:
		f.mu.Lock()
		f.full++
		f.mu.Unlock()
	}
}

// sendLimits sends each message to its receiver if that is present.
func (f *Fleet) sendLimits(out []*limit.Message) {
	present := f.present()
	var b []byte
	for _, m := range out {
		if to := present[m.To.Name]; to != nil {
			b = limit.Append(b[:0], m)
			f.list.SendBestEffort(to, b)
		}
	}
}

// ReceiveLimitMessages returns the messages about limits that arrived since the last call.
func (f *Fleet) ReceiveLimitMessages() []*limit.Message {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := f.receivedLimits
	f.receivedLimits = nil
	return out
}

// receiveLimits queues a message about limits. The caller must hold f.mu.
func (f *Fleet) receiveLimits(b []byte) {
	switch m, err := limit.Parse(b); {
	case err != nil:
		f.bad++
	case len(f.receivedLimits) >= maxPending:
		f.full++
	default:
		f.receivedLimits = append(f.receivedLimits, m)
	}
}
