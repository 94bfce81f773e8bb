// Package lifecycle starts and stops a dispatcher.
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

// Run serves until SIGTERM or an interrupt, then until nothing is held. SIGHUP has the configuration read anew.
func Run(env func(string) string, own *Settings, log *slog.Logger) error {
	// Caught before anything else: one that comes early must not end the program.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	cfg, err := Load(env)
	if err != nil {
		return err
	}
	log = log.With("dispatcher", cfg.Name)
	runtime.GOMAXPROCS(max(int(cfg.Cores), 1))
	// Past three quarters of the limit the collector works harder; the rest is for stacks, sockets and $TMPDIR.
	debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * 3 / 4)
	stop := make(chan struct{})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	var records *driver.Records
	if own.Records != nil {
		// Before it listens: what earlier starts left is settled before anything new is taken.
		if records, err = openRecords(cfg, own.Records, log); err != nil {
			return err
		}
		defer records.Store.Close()
	}
	// The clients' address is shared with the next version of the program while it takes over.
	ln, err := shared().Listen(context.Background(), "tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	d, err := driver.New(cfg, ln, log)
	if err != nil {
		return err
	}
	if cfg.Management != "" {
		door, err := net.Listen("tcp", cfg.Management)
		if err != nil {
			return fmt.Errorf("management: %w", err)
		}
		go d.Door(door)
		log.Info("door", "addr", door.Addr().String())
	}
	if own.Fleet != nil {
		place, err := joinFleet(cfg, own.Fleet, d, log)
		if err != nil {
			return err
		}
		// At the signal already: a next process of the name may be there and wait for the place. A short run of what is left
		// to answer does not cut off the goodbye.
		left := make(chan struct{})
		go func() {
			defer close(left)
			<-stop
			within(resignLimit, d.Resigned())
			place.Leave()
		}()
		defer within(leaveLimit, left)
	}
	if records != nil {
		d.Keep(*records)
		go prune(own.Records, records.Store, d.Now, log, stop)
	}
	go func() {
		<-signals
		// Read here, since the owner waits for no file: a next version that shares the address takes over.
		d.Succeeded()
		close(stop)
		for s := range signals {
			// A second SIGTERM must not cut off what the first one has begun to end in order; one at the keyboard may.
			if s == syscall.SIGINT {
				os.Exit(interrupted)
			}
		}
	}()
	go func() {
		for range hangups {
			address, err := reload(env)
			if err != nil {
				log.Error("reload refused; the old settings hold", "cause", err)
				continue
			}
			log.Info("reload", "discovery", address)
			d.Reload(address)
			if own.Fleet != nil && own.Fleet.Limits != nil {
				relimit(cfg, own, d, log)
			}
		}
	}()
	d.Announce()
	log.Info("listening", "addr", ln.Addr().String())
	d.Run(stop)
	return nil
}

// interrupted is the exit status after a second interrupt.
const interrupted = 130

// How long an end waits for the fleet to be told of it: for the owner's word on what it gives up, and for all of it.
const (
	resignLimit = 300 * time.Millisecond
	leaveLimit  = 1500 * time.Millisecond
)

// within waits for an event, for a time at most.
func within(most time.Duration, event <-chan struct{}) {
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-event:
	case <-t.C:
	}
}

// reload reads the configuration again and gives discovery's address, the one setting that can change while the
// program runs. It is the file that was replaced, so it goes before the environment here.
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

// Load reads the configuration that the environment names; what the environment states goes before it.
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

// shared listens with SO_REUSEPORT, so that a new process of the same program can listen on the clients' address while
// this one still serves. It speaks plain TCP, since a listener of multipath TCP can have no filter that stops arrivals.
func shared() *net.ListenConfig {
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
