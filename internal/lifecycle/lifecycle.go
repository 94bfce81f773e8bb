// Package lifecycle starts, reloads and stops a dispatcher. Load reads the platform's configuration and ReadSettings
// the product's own settings (Settings); Describe explains both to an operator. Run starts a driver.Driver with them,
// handles the signals and returns after a graceful shutdown. JoinFleet and OpenStore are hooks that builds with a
// fleet or a store of record replace.
package lifecycle

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"granitewing/internal/driver"
	"granitewing/internal/wire/platform"
)

// Run serves until SIGTERM or an interrupt, then until everything accepted is finished. SIGHUP reloads the
// configuration. It returns an error if the dispatcher cannot start; see ErrUsage.
func Run(env func(string) string, product *Settings, log *slog.Logger) error {
	// Caught before anything else, so that an early SIGHUP does not end the program.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	cfg, err := Load(env)
	if err != nil {
		return err
	}
	log = log.With("dispatcher", cfg.Name)
	runtime.GOMAXPROCS(max(int(cfg.Cores), 1))
	// Above three quarters of the limit the garbage collector works harder; the rest is for stacks, sockets and $TMPDIR.
	debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * 3 / 4)
	stop := make(chan struct{})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	var records *driver.Records
	if product.Records != nil {
		// Before listening: records left open by earlier starts are settled before new requests are accepted.
		if records, err = openRecords(cfg, product.Records, log); err != nil {
			return err
		}
		defer records.Store.Close()
	}
	// The clients' address is shared with the next version of the program during an upgrade.
	ln, err := reusePortConfig().Listen(context.Background(), "tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	d, err := driver.New(cfg, ln, log)
	if err != nil {
		return err
	}
	if cfg.Management != "" {
		admin, err := net.Listen("tcp", cfg.Management)
		if err != nil {
			return fmt.Errorf("management: %w", err)
		}
		go d.ServeAdmin(admin)
		log.Info("door", "addr", admin.Addr().String())
	}
	if product.Fleet != nil {
		member, err := joinFleet(cfg, product.Fleet, d, log)
		if err != nil {
			return err
		}
		// The fleet is left at the signal, since a next process with the same name may be waiting to join. Run waits for it
		// even if the remaining requests finish sooner, so that the others are notified.
		left := make(chan struct{})
		go func() {
			defer close(left)
			<-stop
			waitAtMost(resignTimeout, d.Resigned())
			member.Leave()
		}()
		defer waitAtMost(leaveTimeout, left)
	}
	if records != nil {
		d.UseRecords(*records)
		go prune(product.Records, records.Store, d.Now, log, stop)
	}
	go func() {
		<-signals
		// Read here, since the owner must not wait for a file: whether a next version that shares the address takes over.
		d.HasSuccessor()
		close(stop)
		for s := range signals {
			// A second SIGTERM must not interrupt the graceful shutdown; an interrupt from the keyboard may.
			if s == syscall.SIGINT {
				os.Exit(exitInterrupted)
			}
		}
	}()
	go func() {
		for range hangups {
			address, err := reload(env)
			if err != nil {
				log.Error("reload failed, keeping the old settings", "cause", err)
				continue
			}
			log.Info("reload", "discovery", address)
			d.SetDiscovery(address)
			if product.Fleet != nil && product.Fleet.Limits != nil {
				reloadLimits(cfg, product, d, log)
			}
		}
	}()
	d.Announce()
	log.Info("listening", "addr", ln.Addr().String())
	d.Run(stop)
	return nil
}

// exitInterrupted is the exit status after a second interrupt.
const exitInterrupted = 130

// How long shutdown waits for the fleet to be notified: for the driver to give up its roles, and in all.
const (
	resignTimeout = 300 * time.Millisecond
	leaveTimeout  = 1500 * time.Millisecond
)

// waitAtMost waits for an event, but not longer than limit.
func waitAtMost(limit time.Duration, event <-chan struct{}) {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-event:
	case <-t.C:
	}
}

// reload reads the configuration again and returns discovery's address, the one setting that can change while the
// program runs. The file was replaced, so its address takes precedence over the environment's here.
func reload(env func(string) string) (string, error) {
	cfg, err := Load(func(name string) string {
		if name == "ROUTER_DISCOVERY" {
			return ""
		}
		return env(name)
	})
	if err != nil {
		return "", err
	}
	return cfg.Discovery, nil
}

// Load reads the configuration file that the environment variable ROUTER_CONFIG names. Values in the environment take
// precedence over the file's.
func Load(env func(string) string) (*platform.Config, error) {
	path := env("ROUTER_CONFIG")
	if path == "" {
		return nil, fmt.Errorf("ROUTER_CONFIG: not set; it names the configuration file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	cfg, err := platform.ReadConfig(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for name, field := range map[string]*string{
		"ROUTER_NAME": &cfg.Name, "ROUTER_LISTEN": &cfg.Listen, "ROUTER_DISCOVERY": &cfg.Discovery,
		"ROUTER_MANAGEMENT": &cfg.Management,
	} {
		if v := env(name); v != "" {
			*field = v
		}
	}
	addrs := []struct{ key, value string }{{"listen", cfg.Listen}, {"discovery", cfg.Discovery}}
	if cfg.Management != "" {
		addrs = append(addrs, struct{ key, value string }{"management", cfg.Management})
	}
	for _, a := range addrs {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return nil, fmt.Errorf("%s: %w", a.key, err)
		}
	}
	return cfg, nil
}

// reusePortConfig listens with SO_REUSEPORT, so that a new process of the program can listen on the clients' address
// while this one still serves. It uses plain TCP, since a multipath TCP listener supports no socket filter, which is
// needed to drop new connections.
func reusePortConfig() *net.ListenConfig {
	config := &net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if cerr := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) }); cerr != nil {
			return cerr
		}
		return err
	}}
	config.SetMultipathTCP(false)
	return config
}
