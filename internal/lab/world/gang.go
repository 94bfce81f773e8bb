package world

import (
	"time"

	"granitewing/internal/fleet/gang/pattern"
	"granitewing/internal/lab/model"
	"granitewing/internal/settings"
)

// Links holds the bandwidths of the links over which the parts of gangs exchange data, in bytes per second.
type Links struct {
	Host settings.Size `sexp:"host"`
	Rack settings.Size `sexp:"rack"`
	Zone settings.Size `sexp:"zone"`
}

// SetDefaults implements settings.Defaulter.
func (l *Links) SetDefaults() { l.Host, l.Rack, l.Zone = 1250<<20, 5000<<20, 20000<<20 }

// Model converts the links for package model.
func (l *Links) Model() model.Links {
	return model.Links{Host: float64(l.Host), Rack: float64(l.Rack), Zone: float64(l.Zone)}
}

// GangSpec describes the gangs of a class: its jobs run in parts at several hosts at once. The class's work is that of
// each part.
type GangSpec struct {
	Parts    int           `sexp:"parts,required" min:"2" max:"256"`
	Least    int           `sexp:"least" min:"1" max:"256"`                       // fewest parts to run with; 0 = Parts
	Exchange string        `sexp:"exchange,required" one-of:"ring|halo|all|tree"` // communication pattern
	Bytes    settings.Size `sexp:"bytes"`                                         // that a part sends in a step
	Steps    float64       `sexp:"steps" min:"0"`                                 // exchanges per run
	Within   time.Duration `sexp:"within" min:"0.05"`                             // from sending until all parts have started
	Wait     time.Duration `sexp:"wait" min:"0.05"`                               // longest wait for slots
}

// SetDefaults implements settings.Defaulter.
func (g *GangSpec) SetDefaults() { g.Within, g.Wait = time.Second, 10*time.Second }

// Model converts the description for package model. It returns nil for a nil receiver.
func (g *GangSpec) Model() *model.Gang {
	if g == nil {
		return nil
	}
	p, _ := pattern.Parse(g.Exchange) // one-of has checked it
	return &model.Gang{Parts: g.Parts, Pattern: p, Bytes: float64(g.Bytes), Steps: g.Steps}
}

// GangOf returns the gang of a class by its name, or nil if the class does not run in parts.
func (d *Day) GangOf(class string) *model.Gang {
	for i := range d.Classes {
		if d.Classes[i].Name == class {
			return d.Classes[i].Gang.Model()
		}
	}
	return nil
}
