package keeper

import (
	"sort"
	"time"

	"granitewing/internal/system/session"
)

// Status is a keeper's view of the fleet, for operators. It is written out as JSON.
type Status struct {
	Keeper        string           `json:"keeper"`                // address of the reporting keeper
	Configuration uint64           `json:"configuration"`         // version
	Roster        uint64           `json:"roster"`                // epoch
	CatalogAge    string           `json:"catalog_age,omitempty"` // age of the list of workers; empty if not read here
	Groups        []GroupStatus    `json:"groups"`
	Members       []MemberStatus   `json:"members"`
	Disks         []DiskStatus     `json:"disks"`
	Drains        []DrainStatus    `json:"emptyings,omitempty"`
	Units         []UnitStatus     `json:"units"`
	Services      []ServiceStatus  `json:"services"`
	Departed      []DepartedStatus `json:"departed"`
}

// GroupStatus describes one replica group.
type GroupStatus struct {
	Name     string   `json:"name"`
	Leader   string   `json:"leader"`
	Term     uint64   `json:"term"`
	Applied  uint64   `json:"applied"`
	Voters   []string `json:"voters"`
	Learners []string `json:"learners"`
	// SurvivesLoss is set by the leader only. It reports whether the group keeps a live majority through every
	// tolerated loss.
	SurvivesLoss *bool `json:"whole,omitempty"`
}

// MemberStatus describes a member with an open session.
type MemberStatus struct {
	Node        string `json:"node"`
	Role        string `json:"role"`
	Zone        string `json:"zone"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	Stopping    bool   `json:"stopping"`
}

// DiskStatus describes one disk of the roster.
type DiskStatus struct {
	Disk    string `json:"disk"`
	Node    string `json:"node"`
	Live    bool   `json:"live"`
	Counted bool   `json:"counted"`
	Leaving bool   `json:"leaving"`
}

// DrainStatus describes a machine that is being drained or waits for it.
type DrainStatus struct {
	Node     string `json:"node"`
	Age      string `json:"age"`       // since this keeper process first saw the order
	Started  bool   `json:"begun"`     // its disks no longer accept messages
	WaitsFor string `json:"waits_for"` // what the drain waits for, as text
}

// UnitStatus describes the owner of a unit.
type UnitStatus struct {
	Unit  string `json:"unit"`
	Owner string `json:"owner"` // incarnation of a carrier
	Token uint64 `json:"token"`
	Next  string `json:"next,omitempty"` // carrier to which the unit is offered
}

// ServiceStatus counts the workers of a service.
type ServiceStatus struct {
	Service  string `json:"service"`
	Workers  int    `json:"workers"`
	Draining int    `json:"draining"`
}

// DepartedStatus describes a carrier that has left while some of its messages were not complete.
type DepartedStatus struct {
	Incarnation string `json:"incarnation"`
	Adopter     string `json:"adopter"`
}

// groupNames are the display names of the groups, by number.
var groupNames = [Groups]string{"configuration", "sessions", "owners-0", "owners-1"}

// Status returns this keeper's view of the fleet. It may be outdated if this keeper leads no group.
func (c *Core) Status(now time.Duration) Status {
	c.now = now
	status := Status{Keeper: c.options.Address, Roster: c.sessions.Epoch()}
	if document := c.configuration.Current(); document != nil {
		status.Configuration = document.Version
	}
	if c.catalogKnown {
		status.CatalogAge = c.CatalogAge().Round(time.Millisecond).String()
	}
	for id, g := range c.groups {
		group := g.node.Membership()
		groupStatus := GroupStatus{Name: groupNames[id], Leader: AddressOf(g.node.Leader()),
			Term: g.node.Term(), Applied: g.node.Applied(), Voters: group.Voters, Learners: group.Learners}
		if whole, leads := c.SurvivesLoss(id); leads {
			groupStatus.SurvivesLoss = &whole
		}
		status.Groups = append(status.Groups, groupStatus)
	}
	status.Members, status.Disks = c.memberStatus(), c.diskStatus()
	status.Drains = c.drainStatus()
	status.Units, status.Services = c.unitStatus(), c.serviceStatus()
	for _, gone := range c.sessions.Departed() {
		status.Departed = append(status.Departed, DepartedStatus{Incarnation: gone.Incarnation, Adopter: gone.Adopter})
	}
	return status
}

func (c *Core) memberStatus() []MemberStatus {
	var members []MemberStatus
	for _, role := range []session.Role{session.Carrier, session.Store} {
		for _, m := range c.sessions.Members(role) {
			members = append(members, MemberStatus{Node: m.Node, Role: string(m.Role), Zone: m.Zone, Address: m.Address,
				Incarnation: m.Incarnation, Stopping: m.Stopping})
		}
	}
	return members
}

func (c *Core) diskStatus() []DiskStatus {
	live := map[string]bool{}
	for _, store := range c.sessions.Members(session.Store) {
		live[store.Disk] = true
	}
	var disks []DiskStatus
	for id, disk := range c.sessions.Disks() {
		disks = append(disks, DiskStatus{Disk: id, Node: disk.Member.Node, Live: live[id], Counted: disk.Counted, Leaving: disk.Leaving})
	}
	sort.Slice(disks, func(i, j int) bool {
		return disks[i].Node < disks[j].Node || disks[i].Node == disks[j].Node && disks[i].Disk < disks[j].Disk
	})
	return disks
}

// drainStatus describes the machines whose retirement is not complete.
func (c *Core) drainStatus() []DrainStatus {
	var drains []DrainStatus
	for _, e := range c.sessions.Drains(Groups) {
		age := (c.now - c.retiringSince[e.Node]).Round(time.Millisecond)
		drains = append(drains, DrainStatus{Node: e.Node, Age: age.String(), Started: e.Started, WaitsFor: e.WaitsFor})
	}
	return drains
}

// trackRetirements remembers since when this keeper knows of each machine that is being drained.
func (c *Core) trackRetirements() {
	since := map[string]time.Duration{}
	for _, e := range c.sessions.Drains(Groups) {
		began, known := c.retiringSince[e.Node]
		if !known {
			began = c.now
		}
		since[e.Node] = began
	}
	c.retiringSince = since
}

func (c *Core) unitStatus() []UnitStatus {
	var units []UnitStatus
	for _, shard := range c.owners {
		for unit, owner := range shard.Owners() {
			units = append(units, UnitStatus{Unit: unit, Owner: owner.Incarnation, Token: owner.Token, Next: owner.OfferedTo})
		}
	}
	sort.Slice(units, func(i, j int) bool { return units[i].Unit < units[j].Unit })
	return units
}

func (c *Core) serviceStatus() []ServiceStatus {
	document := c.configuration.Current()
	if document == nil {
		return nil
	}
	counts := map[string]*ServiceStatus{}
	var services []string
	for name := range document.Services {
		counts[name] = &ServiceStatus{Service: name}
		services = append(services, name)
	}
	for _, instance := range c.instances {
		count := counts[instance.Service]
		switch {
		case count == nil:
		case instance.Draining:
			count.Draining++
		default:
			count.Workers++
		}
	}
	sort.Strings(services)
	var status []ServiceStatus
	for _, name := range services {
		status = append(status, *counts[name])
	}
	return status
}
