// Command granitewing-fleet is the dispatcher with membership in a fleet, whose members exchange load reports. It is a
// separate build, so that the platform's build, which shares nothing, links no membership library.
package main

import (
	"log/slog"

	"granitewing/internal/cli"
	"granitewing/internal/fleet/member"
	"granitewing/internal/lifecycle"
)

func main() {
	lifecycle.JoinFleet = func(f *lifecycle.FleetSettings, name string, incarnation uint64, log *slog.Logger) (lifecycle.Peers, error) {
		peers, err := member.Join(member.Options{Name: name, Bind: f.Bind, Advertise: f.Advertise, Join: f.Join, Label: f.Label, Incarnation: incarnation, Log: log})
		if err != nil {
			return nil, err
		}
		return peers, nil
	}
	cli.Main("granitewing-fleet")
}
