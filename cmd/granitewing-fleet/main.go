// Command granitewing-fleet is the dispatcher for fleets whose members tell each other what they hold. It is a build of
// its own, so that the platform's, which shares nothing, carries no membership.
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
