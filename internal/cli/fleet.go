package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// fleet lists the verbs for a fleet, whose members exchange load reports.
type fleet struct {
	Status fleetStatus `cmd:"" help:"Ask a running dispatcher's door who is in its fleet, how old their news is and what was refused. Example: granitewing-fleet fleet status --door 127.0.0.1:9100"`
}

type fleetStatus struct {
	Door string `required:"" help:"The dispatcher's management address." placeholder:"ADDR"`
	JSON bool   `help:"Results as JSON."`
}

// status is a dispatcher's view of its fleet, read from its admin endpoint.
type status struct {
	Members int            `json:"members"` // other live members
	Heard   int            `json:"heard"`   // of these, members whose reports count
	Reports int            `json:"reports"`
	Refused map[string]int `json:"refused"`
	Peers   []peerStatus   `json:"peers"`
	Dealer  string         `json:"dealer,omitempty"` // dealer of the limits, as far as this dispatcher knows
	Limits  []*limitStatus `json:"limits,omitempty"`
	Price   *priceStatus   `json:"price,omitempty"`
}

type peerStatus struct {
	Name        string  `json:"name"`
	Incarnation string  `json:"incarnation"`
	State       string  `json:"state"`
	Speaks      int     `json:"speaks_for"` // number of dispatchers that the reports cover, the reporter included if it is one of them
	Age         float64 `json:"news_age_s"`
}

// adminTimeout bounds the whole call; an admin endpoint answers within a second.
const adminTimeout = 2 * time.Second

func (f *fleetStatus) Run() error {
	c, err := net.DialTimeout("tcp", f.Door, adminTimeout)
	if err != nil {
		return fmt.Errorf("admin endpoint: %w", err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(adminTimeout))
	if _, err := io.WriteString(c, "counters\n"); err != nil {
		return fmt.Errorf("admin endpoint: %w", err)
	}
	text, err := io.ReadAll(io.LimitReader(c, 8<<20))
	if err != nil {
		return fmt.Errorf("admin endpoint: %w", err)
	}
	s, err := readStatus(string(text))
	if err != nil {
		return err
	}
	if f.JSON {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", " ")
		return e.Encode(s)
	}
	s.write(os.Stdout)
	return nil
}

var (
	refusedLine = regexp.MustCompile(`^router_fleet_refused_total\{cause="(\w+)"\} (\d+)$`)
	dealerLine  = regexp.MustCompile(`^router_fleet_dealer\{member="((?:[^"\\]|\\.)*)",self="(\w+)"\} 1$`)
	limitLine   = regexp.MustCompile(`^router_fleet_limit_(\w+)\{limit="((?:[^"\\]|\\.)*)"\} ([0-9.e+-]+)$`)
	peerLine    = regexp.MustCompile(`^router_fleet_news_age_seconds\{member="((?:[^"\\]|\\.)*)",incarnation="(\d+)",state="(\w+)",speaks_for="(\d+)"\} ([0-9.]+)$`)
)

// readStatus extracts the fleet's metrics from the text of an admin endpoint.
func readStatus(text string) (*status, error) {
	s := &status{Refused: map[string]int{}, Members: -1}
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		name, value, _ := strings.Cut(line, " ")
		n, _ := strconv.Atoi(value)
		switch name {
		case "router_fleet_members":
			s.Members = n
		case "router_fleet_heard":
			s.Heard = n
		case "router_fleet_reports_total":
			s.Reports = n
		}
		if p := (priceStatus{}); p.set(name, 0) {
			if s.Price == nil {
				s.Price = &priceStatus{}
			}
			v, _ := strconv.ParseFloat(value, 64)
			s.Price.set(name, v)
		}
		if m := refusedLine.FindStringSubmatch(line); m != nil {
			s.Refused[m[1]], _ = strconv.Atoi(m[2])
		} else if m := peerLine.FindStringSubmatch(line); m != nil {
			speaks, _ := strconv.Atoi(m[4])
			age, _ := strconv.ParseFloat(m[5], 64)
			s.Peers = append(s.Peers, peerStatus{m[1], m[2], m[3], speaks, age})
		} else if m := dealerLine.FindStringSubmatch(line); m != nil {
			s.Dealer = m[1]
		} else if m := limitLine.FindStringSubmatch(line); m != nil {
			v, _ := strconv.ParseFloat(m[3], 64)
			s.limitNamed(m[2]).set(m[1], v)
		}
	}
	if s.Members < 0 {
		return nil, errors.New("the dispatcher is in no fleet: its settings have no (fleet …), or it has just started")
	}
	return s, nil
}

func (s *status) write(w io.Writer) {
	fmt.Fprintf(w, "%d other members, the news of %d counts; %d reports taken\n", s.Members, s.Heard, s.Reports)
	fmt.Fprintf(w, "refused: %d old, %d out of range, %d too soon, %d without room, %d in this name, %d no report\n",
		s.Refused["old"], s.Refused["range"], s.Refused["flood"], s.Refused["full"], s.Refused["self"], s.Refused["form"])
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "member\tstate\tspeaks for\tnews\tincarnation")
	for _, p := range s.Peers {
		fmt.Fprintf(t, "%s\t%s\t%d\t%.2f s old\t%s\n", p.Name, p.State, p.Speaks, p.Age, p.Incarnation)
	}
	t.Flush()
	s.writeLimits(w)
	s.Price.write(w)
}
