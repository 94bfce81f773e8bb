package world

import (
	"time"

	"granitewing/internal/fleet/gang/pattern"
	"granitewing/internal/lab/model"
	"granitewing/internal/settings"
)

// Links are what the parts of gangs exchange over, bytes a second.
type Links struct {
	Host settings.Size `sexp:"host"`
	Rack settings.Size `sexp:"rack"`
	Zone settings.Size `sexp:"zone"`
}

// SetDefaults implements settings.Defaulter.
func (l *Links) SetDefaults() { l.Host, l.Rack, l.Zone = 1250<<20, 5000<<20, 20000<<20 }

// Model gives them as the hosts have them.
func (l *Links) Model() model.Links {
	return model.Links{Host: float64(l.Host), Rack: float64(l.Rack), Zone: float64(l.Zone)}
}

// GangSpec is a class whose jobs run in parts at several hosts at once; the class's work is that of each part.
type GangSpec struct {
	Parts    int           `sexp:"parts,required" min:"2" max:"256"`
	Least    int           `sexp:"least" min:"1" max:"256"`
	Exchange string        `sexp:"exchange,required" one-of:"ring|halo|all|tree"`
	Bytes    settings.Size `sexp:"bytes"`
	Steps    float64       `sexp:"steps" min:"0"`
	Within   time.Duration `sexp:"within" min:"0.05"`
	Wait     time.Duration `sexp:"wait" min:"0.05"`
}

// SetDefaults implements settings.Defaulter.
func (g *GangSpec) SetDefaults() { g.Within, g.Wait = time.Second, 10*time.Second }

// Model gives it as the hosts have it; nil for none.
func (g *GangSpec) Model() *model.Gang {
	if g == nil {
		return nil
	}
	p, _ := pattern.Parse(g.Exchange) // one-of has checked it
	return &model.Gang{Parts: g.Parts, Pattern: p, Bytes: float64(g.Bytes), Steps: g.Steps}
}

// GangOf gives what the hosts know of a class by its name; nil where it runs in one piece.
func (d *Day) GangOf(class string) *model.Gang {
	for i := range d.Classes {
		if d.Classes[i].Name == class {
			return d.Classes[i].Gang.Model()
		}
	}
	return nil
}
