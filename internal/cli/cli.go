// Package cli is the command line that all builds of the dispatcher share. Main parses the arguments and runs a verb:
// serve, check, records, fleet or version. Without arguments it serves with the configuration that the environment
// names. The exit code is 0, 1 after an error, or 2 after wrong usage or invalid settings.
package cli

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"

	"granitewing/internal/lifecycle"
	"granitewing/internal/settings"
)

// commands lists the verbs.
type commands struct {
	Serve   serve   `cmd:"" help:"Serve until SIGTERM. Example: granitewing serve --config deploy/example.json --settings site.sexp"`
	Check   check   `cmd:"" help:"Read configuration and settings and say what is wrong or what they mean. Example: granitewing check --config deploy/example.json"`
	Records records `cmd:"" help:"Look at, check and tend the store of record."`
	Fleet   fleet   `cmd:"" help:"Look at the fleet that a dispatcher shares with."`
	Version version `cmd:"" help:"Print the version and exit."`
}

// files holds the flags that name the files to read.
type files struct {
	Config   string `help:"The platform's configuration, JSON; goes before ROUTER_CONFIG." placeholder:"FILE"`
	Settings string `help:"The product's own settings, S-expressions." placeholder:"FILE"`
}

// env returns an environment variable; the flag --config takes precedence over ROUTER_CONFIG.
func (f files) env(name string) string {
	if name == "ROUTER_CONFIG" {
		return cmp.Or(f.Config, os.Getenv(name))
	}
	return os.Getenv(name)
}

type serve struct {
	files
	Log string `help:"How the log is written: auto, text or json; goes before the settings." enum:",auto,text,json" default:""`
}

func (s *serve) Run() error {
	product, err := lifecycle.ReadSettings(s.Settings)
	var bad *settings.Error
	switch {
	case errors.As(err, &bad):
		return fmt.Errorf("%w: %w", lifecycle.ErrUsage, err)
	case err != nil:
		return err
	}
	product.Log.Format = cmp.Or(s.Log, product.Log.Format)
	return lifecycle.Run(s.env, product, product.Log.Logger(os.Stderr))
}

type check struct{ files }

func (c *check) Run() error {
	// Both files are read even if the first has errors, so that one call reports the errors of both.
	product, err := lifecycle.ReadSettings(c.Settings)
	return errors.Join(err, lifecycle.Describe(os.Stdout, c.env, product))
}

type version struct{}

func (version) Run() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("the build has no version information")
	}
	revision := "unknown"
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			revision = s.Value
		}
	}
	fmt.Printf("granitewing %s, revision %s, %s\n", info.Main.Version, revision, info.GoVersion)
	return nil
}

// Main runs the program under the given name and exits with its code if that is not 0.
func Main(name string) {
	var err error
	if len(os.Args) == 1 {
		err = lifecycle.Run(os.Getenv, &lifecycle.Settings{}, lifecycle.LogSettings{}.Logger(os.Stderr))
	} else {
		ctx := kong.Parse(&commands{}, kong.Name(name),
			kong.Description("A dispatcher: takes jobs from clients and sends each to the worker where it costs least."),
			kong.Exit(func(code int) {
				if code != 0 {
					code = 2 // wrong usage
				}
				os.Exit(code)
			}))
		err = ctx.Run()
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		var bad *settings.Error
		if errors.Is(err, lifecycle.ErrUsage) || errors.As(err, &bad) {
			os.Exit(2)
		}
		os.Exit(1)
	}
}
