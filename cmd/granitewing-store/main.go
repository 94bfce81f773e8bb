// Command granitewing-store is the dispatcher with a store of record (SQLite or PostgreSQL). It is a separate build,
// so that the platform's build links no database.
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

func open(ctx context.Context, s lifecycle.StoreSettings, instance string, use lifecycle.StoreMode) (record.Store, error) {
	if s.Kind == "postgres" {
		return postgres.Open(ctx, postgres.Options{URL: s.Path, Instance: instance, Statement: s.Statement,
			ReadOnly: use != lifecycle.Serving, Writable: use == lifecycle.Repairing})
	}
	return sqlite.Open(ctx, sqlite.Options{Path: s.Path, Instance: instance,
		ReadOnly: use != lifecycle.Serving, Writable: use == lifecycle.Repairing})
}
