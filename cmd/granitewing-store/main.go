// Command granitewing-store is the dispatcher with its store of record. It is a build of its own, so that the platform's
// carries no database.
package main

import (
	"context"

	"granitewing/internal/cli"
	"granitewing/internal/lifecycle"
	"granitewing/internal/record"
	"granitewing/internal/record/postgres"
	"granitewing/internal/record/sqlite"
)

func main() {
	lifecycle.OpenStore = open
	cli.Main("granitewing-store")
}

func open(ctx context.Context, s lifecycle.StoreSettings, instance string, use lifecycle.StoreUse) (record.Store, error) {
	if s.Kind == "postgres" {
		return postgres.Open(ctx, postgres.Options{URL: s.Path, Instance: instance, Statement: s.Statement,
			ReadOnly: use != lifecycle.Serving, Writable: use == lifecycle.Repairing})
	}
	return sqlite.Open(ctx, sqlite.Options{Path: s.Path, Instance: instance,
		ReadOnly: use != lifecycle.Serving, Writable: use == lifecycle.Repairing})
}
