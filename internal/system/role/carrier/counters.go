package carrier

// Counters holds the counts of events since the carrier started.
type Counters struct {
	// Delivered counts the attempts that were sent to workers, and Failed those that ended as RunFailed. Completed counts
	// the messages with an outcome, also dead letters.
	Accepted, Refused, Indeterminate, Delivered, Failed, Completed, Callbacks uint64
	// CompletedBefore counts messages that were passed to this carrier after they had completed under a former owner.
	CompletedBefore uint64
	// KeyedUnordered counts accepted messages with an ordering key whose route is not ordered.
	KeyedUnordered uint64
}

// Counters returns the current counts.
func (c *Core) Counters() Counters { return c.figures }
