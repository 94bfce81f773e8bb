package simulation

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"granitewing/internal/system/tolerance"
)

// Scenario describes a run: its sizes, the events that happen in it and the shares that it must reach. Its text form has
// one line for each setting, event or expectation. Times of events count from the start of the traffic; a fault without
// 'for' lasts one second, except for 'kill', which lasts 300 ms.
//
//	# a comment, to the end of the line
//	seed 7                             of the random generator; 1 if missing
//	traffic 12s                        duration of the clients' traffic; 10s if missing
//	storage 6                          storage machines at the start; 3 if missing
//	disk 300                           kilobytes of disk of each storage machine; 400 megabytes if missing
//	retention 8s                       of the messages; 90s if missing
//	delays 60s                         longest delay of a delayed message; 14s if missing
//	keys everywhere                    clients of routes without order send ordering keys, too
//	tolerate zones 1                   loss that is tolerated, of 'machines' or 'zones'; 'machines 1' if missing
//	at 2s kill storage-1 for 1s        processes are killed, and start again after this time
//	at 3s power storage-2 for 2s       power is lost; 'storage', 'edge', 'zone-a' and 'all' name several machines
//	at 3s wipe storage-2 for 1s        power and disk are lost
//	at 3s blackout storage-2 for 1s    its disk is lost while all machines lose their power
//	at 4s freeze edge-1 for 5s         its processes stop, and go on later with their state
//	at 4s cut storage-1 from all for 3s        a partition; with 'oneway' at the end only what the first sends is lost
//	at 5s term edge-2                  SIGTERM, and a start after the processes have ended
//	at 5s replace storage-1 after 1s   it is removed permanently; an empty one is added at another address
//	at 5s add storage                  an empty machine is added
//	at 6s retire storage-1             it is drained, and removed as soon as it is reported as drained
//	at 6s slowdisk storage-1 by 30 for 3s      syncs take this many times as long
//	at 6s fulldisk storage-1 for 3s    writes to its disks fail
//	at 6s dark alert for 4s            the workers of a service do not respond
//	at 6s grey alert loses for 4s      some workers run messages but lose the answers ('loses'), reset connections
//	                                   ('resets'), reject everything ('sheds') or fail ('fails'), and seem healthy
//	at 6s slow archive by 8 for 4s     some workers take this many times as long
//	at 6s crash archive for 2s         some workers stop, and others start later
//	at 6s burst archive by 20 for 3s   clients send this many times as many messages
//	at 7s release archive              a worker is replaced
//	at 7s configure                    a change of the configuration
//	at 7s move alert to archive        a change that routes a kind of traffic to another service
//	at 7s drop alert                   a change that removes a route, until it is moved to a service
//	at 7s nest alert to archive        a change that adds a shorter prefix without order, routed to a service; it takes
//	                                   the messages of alert's clients while their own route is dropped
//	at 7s unnest alert                 a change that removes it
//	at 7s race                         two changes based on the same version
//	at 7s lose acknowledgements for 3s         some answers to the operator are lost
//	at 7s silence platform for 3s              the platform's inventory can't be read
//	at 7s deafen receivers for 3s              receivers of call-backs answer 503
//	at 7s unhear edge by 30 for 3s             this percentage of a carrier's answers to other carriers is lost
//	at 7s outdate edge-1 for 1s                frames that keepers push to it are lost
//	at 8s skew edge-1 by 2s            its time of day is stepped
//	expect accepted 0.9                minimum share of the sent messages that are accepted
//	expect prompt 0.9                  minimum share of the sent messages that are accepted within the target
//	expect ended 0.99                  minimum share of the accepted messages that complete
//	expect started 0.9                 minimum share of the accepted messages whose run starts within the target
//	expect useful 0.9                  minimum share of the attempts that succeed
//	expect local 0.5                   minimum share of the runs in their carrier's zone, of services with many workers
//	expect called 0.99                 minimum share of the call-backs of completed messages that are made
//	expect expired 0.01                maximum share of the accepted messages whose retention passes; 0 if missing
//	expect retired 1                   number of machines that are drained and removed
//	expect spread 1                    maximum difference between carriers in ordering-key units owned at the end
//
// Drawn scenarios use further events, which are in machineEvents, disruptiveEvents and plannedEvents:
//
//	quota         the processor time of a machine is limited
//	reset         all connections of a machine's processes break
//	split         a partition between two random halves of the storage machines
//	behind        a machine is isolated and misses configuration changes; then one of the others loses its disk and the
//	              rest lose their power
//	relieve       a machine is isolated from the storage machines during changes; after it the others are killed
//	misseed       a machine is isolated, new seed lists name it first, and edge-1 restarts
//	restart       a machine is isolated from the storage machines and restarts; later the others restart
//	lure          a machine is isolated while workers are replaced, and new seed lists name it first
//	evict         a machine is to be retired, and another one loses its disk right after
//	turnover      all processes reload settings that name other seeds
//	storm         configuration changes follow one another, at most eight at a time without an answer
//	misconfigure  an invalid configuration is sent
//	renew         a machine is replaced as a planned operation: the new one is added before the old one is removed
type Scenario struct {
	Seed            uint64
	Traffic         time.Duration // for which clients send messages
	StorageMachines int           // storage machines at the start
	DiskKB          int64         // kilobytes, of each storage machine
	Retention       time.Duration
	MaxDelay        time.Duration // longest delay of a delayed message
	KeysEverywhere  bool          // clients of routes without order send ordering keys, too
	Tolerance       tolerance.Tolerance
	Events          []Event
	MinShares       map[ShareName]float64 // minimum of each share; missing for none
	MaxExpired      float64               // maximum share of accepted messages whose retention passes
	Retired         int                   // machines that must be drained and removed
	MaxSpread       int                   // 0 means no bound
}

// Event is something that happens during a run.
type Event struct {
	At   time.Duration // after the start of the traffic
	What string        // the event's words, such as "kill storage-1 for 1s"
}

// ParseError reports a line or an event that can't be parsed. Line is 0 for an event.
type ParseError struct {
	Line   int
	Reason string
}

func (e *ParseError) Error() string { return fmt.Sprintf("line %d: %s", e.Line, e.Reason) }

// Parse parses a scenario. It returns a ParseError with the number of the line if one is invalid. Events are checked
// only when Run runs the scenario.
func Parse(text string) (*Scenario, error) {
	s := &Scenario{Seed: 1, Traffic: 10 * time.Second, StorageMachines: defaultStorageMachines, DiskKB: defaultDisk, Retention: defaultRetention, MaxDelay: defaultMaxDelay, MinShares: map[ShareName]float64{},
		Tolerance: tolerance.Tolerance{Machines: 1}}
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		if err := s.parseLine(words); err != nil {
			return nil, &ParseError{Line: i + 1, Reason: err.Error()}
		}
	}
	return s, nil
}

func (s *Scenario) parseLine(words []string) (err error) {
	wants := func(count int) error {
		if len(words) < count {
			return &ParseError{Reason: "missing words in: " + strings.Join(words, " ")}
		}
		return nil
	}
	switch words[0] {
	case "seed":
		if err = wants(2); err == nil {
			s.Seed, err = strconv.ParseUint(words[1], 10, 64)
		}
	case "traffic":
		if err = wants(2); err == nil {
			s.Traffic, err = time.ParseDuration(words[1])
		}
	case "storage":
		if err = wants(2); err == nil {
			s.StorageMachines, err = strconv.Atoi(words[1])
		}
	case "retention":
		if err = wants(2); err == nil {
			s.Retention, err = time.ParseDuration(words[1])
		}
	case "delays":
		if err = wants(2); err == nil {
			s.MaxDelay, err = time.ParseDuration(words[1])
		}
	case "disk":
		if err = wants(2); err == nil {
			s.DiskKB, err = strconv.ParseInt(words[1], 10, 64)
		}
	case "keys":
		if err = wants(2); err == nil && words[1] != "everywhere" {
			return &ParseError{Reason: "unknown word " + words[1]}
		}
		s.KeysEverywhere = true
	case "tolerate":
		if err = wants(3); err != nil {
			return err
		}
		number, err := strconv.Atoi(words[2])
		switch words[1] {
		case "machines":
			s.Tolerance.Machines = number
		case "zones":
			s.Tolerance.Zones = number
		default:
			return &ParseError{Reason: "unknown word " + words[1]}
		}
		return err
	case "expect":
		if err = wants(3); err != nil {
			return err
		}
		number, err := strconv.ParseFloat(words[2], 64)
		switch words[1] {
		case "expired":
			s.MaxExpired = number
		case "retired":
			s.Retired = int(number)
		case "spread":
			s.MaxSpread = int(number)
		default:
			share := ShareName(words[1])
			if !slices.Contains(shares, share) {
				return &ParseError{Reason: "unknown word " + words[1]}
			}
			s.MinShares[share] = number
		}
		return err
	case "at":
		if err = wants(3); err != nil {
			return err
		}
		at, err := time.ParseDuration(words[1])
		s.Events = append(s.Events, Event{At: at, What: strings.Join(words[2:], " ")})
		return err
	default:
		return &ParseError{Reason: "unknown word " + words[0]}
	}
	return err
}

// String returns the scenario as a text that Parse reads. Expectations other than minimum shares are left out.
func (s *Scenario) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d\ntraffic %s\nstorage %d\ndisk %d\nretention %s\ndelays %s\ntolerate machines %d\ntolerate zones %d\n", s.Seed, s.Traffic, s.StorageMachines, s.DiskKB, s.Retention, s.MaxDelay,
		s.Tolerance.Machines, s.Tolerance.Zones)
	if s.KeysEverywhere {
		text.WriteString("keys everywhere\n")
	}
	for _, event := range s.Events {
		fmt.Fprintf(&text, "at %s %s\n", event.At, event.What)
	}
	for _, share := range shares {
		if least, wanted := s.MinShares[share]; wanted {
			fmt.Fprintf(&text, "expect %s %g\n", share, least)
		}
	}
	return text.String()
}
