package simulation

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"granitewing/internal/system/tolerance"
)

// Scenario is a day as a text: one line for each thing that happens.
//
//	# what it is about
//	seed 7
//	traffic 12s
//	storage 6                          storage machines at the start; 3 without it
//	disk 300                           kilobytes of a storage machine's disk; 400 megabytes without it
//	retention 8s                       of the messages; 90s without it
//	tolerate zones 1                   what may be lost: 'machines', 'zones'; 'machines 1' without it
//	at 2s kill storage-1 for 1s
//	at 3s power storage-2 for 2s       power is lost; 'storage', 'edge', 'zone-a' and 'all' name many machines
//	at 3s wipe storage-2 for 1s        power and disk are lost
//	at 3s blackout storage-2 for 1s    its disk is lost while all machines lose their power
//	at 4s freeze edge-1 for 5s
//	at 4s cut storage-1 from all for 3s        'oneway' at the end: what the first sends is lost
//	at 5s term edge-2                  SIGTERM, and a start after it has ended
//	at 5s replace storage-1 after 1s   gone for good; an empty one comes at another address
//	at 5s add storage                  an empty machine comes
//	at 6s retire storage-1             it is emptied, and taken away at once when it is told as empty
//	at 6s slowdisk storage-1 by 30 for 3s
//	at 6s fulldisk storage-1 for 3s    it takes no more bytes
//	at 6s dark alert for 4s            workers of a service are silent
//	at 6s grey alert loses for 4s      some workers run and 'loses' answers, 'resets', 'sheds' or 'fails', their health being good
//	at 6s slow archive by 8 for 4s     some workers take so many times as long
//	at 6s crash archive for 2s         some workers are gone, and others start later
//	at 6s burst archive by 20 for 3s   so many times as many messages come
//	at 7s release archive              a worker is replaced
//	at 7s configure                    a change of the configuration
//	at 7s move alert to archive        a change that gives a kind of traffic to another service
//	at 7s drop alert                   a change that takes a route away, until it is moved somewhere
//	at 7s race                         two changes on the same version
//	at 7s lose acknowledgements for 3s         some answers to the operator are lost
//	at 7s silence platform for 3s              its list of workers can't be read
//	at 7s deafen receivers for 3s              receivers of call-backs answer 503
//	at 7s unhear edge by 30 for 3s             of a hundred answers that a carrier gives other carriers, so many are lost
//	at 7s outdate edge-1 for 1s                what keepers push to it is lost
//	at 8s skew edge-1 by 2s            the time of day is stepped
//	expect accepted 0.9                least share of what was sent
//	expect prompt 0.9                  least share of what was sent that was accepted within its target
//	expect ended 0.99                  least share of what was accepted
//	expect started 0.9                 least share of what was accepted that began within its target
//	expect useful 0.9                  least share of the attempts that brought a success
//	expect local 0.5                   least share of what ran that ran in its carrier's zone, of services with many workers
//	expect called 0.99                 least share of the call-backs that are owed which were made
//	expect expired 0.01                most share of what was accepted that ends by its retention; 0 without it
//	expect retired 1                   machines that were emptied and taken away
//	expect spread 1                    most units of ordering keys that one carrier owns more than another, at the end
type Scenario struct {
	Seed      uint64
	Traffic   time.Duration
	Storage   int
	Disk      int64 // kilobytes of each
	Retention time.Duration
	Tolerate  tolerance.Tolerance
	Events    []Event
	Least     map[Share]float64
	Expired   float64
	Retired   int
	Spread    int // 0 where it does not matter
}

// Event is one thing that happens.
type Event struct {
	At   time.Duration
	What string
}

// ParseError tells of a line that can't be read.
type ParseError struct {
	Line   int
	Reason string
}

func (e *ParseError) Error() string { return fmt.Sprintf("line %d: %s", e.Line, e.Reason) }

// Parse reads a scenario.
func Parse(text string) (*Scenario, error) {
	s := &Scenario{Seed: 1, Traffic: 10 * time.Second, Storage: storageCount, Disk: usualDisk, Retention: usualRetention, Least: map[Share]float64{},
		Tolerate: tolerance.Tolerance{Machines: 1}}
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
			return &ParseError{Reason: "words are missing in " + strings.Join(words, " ")}
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
			s.Storage, err = strconv.Atoi(words[1])
		}
	case "retention":
		if err = wants(2); err == nil {
			s.Retention, err = time.ParseDuration(words[1])
		}
	case "disk":
		if err = wants(2); err == nil {
			s.Disk, err = strconv.ParseInt(words[1], 10, 64)
		}
	case "tolerate":
		if err = wants(3); err != nil {
			return err
		}
		number, err := strconv.Atoi(words[2])
		switch words[1] {
		case "machines":
			s.Tolerate.Machines = number
		case "zones":
			s.Tolerate.Zones = number
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
			s.Expired = number
		case "retired":
			s.Retired = int(number)
		case "spread":
			s.Spread = int(number)
		default:
			share := Share(words[1])
			if !slices.Contains(shares, share) {
				return &ParseError{Reason: "unknown word " + words[1]}
			}
			s.Least[share] = number
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

// String gives the scenario's text.
func (s *Scenario) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d\ntraffic %s\nstorage %d\ndisk %d\nretention %s\ntolerate machines %d\ntolerate zones %d\n", s.Seed, s.Traffic, s.Storage, s.Disk, s.Retention,
		s.Tolerate.Machines, s.Tolerate.Zones)
	for _, event := range s.Events {
		fmt.Fprintf(&text, "at %s %s\n", event.At, event.What)
	}
	for _, share := range shares {
		if least, wanted := s.Least[share]; wanted {
			fmt.Fprintf(&text, "expect %s %g\n", share, least)
		}
	}
	return text.String()
}
