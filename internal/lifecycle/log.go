package lifecycle

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"
	"time"

	"github.com/lmittmann/tint"

	"granitewing/internal/settings"
)

// LogSettings configures the format of the log. Its records have stable keys: dispatcher, host, message, class,
// outcome, cause, addr, discovery, open.
type LogSettings struct {
	Format string `sexp:"format" one-of:"auto|text|json"` // auto: coloured on a terminal, text elsewhere
	Level  string `sexp:"level" one-of:"debug|info|warn|error"`
}

// Settings are the product's own settings, besides the platform's configuration.
type Settings struct {
	Log     LogSettings     `sexp:"log"`
	Records *RecordSettings `sexp:"record"`
	Fleet   *FleetSettings  `sexp:"fleet"`
	path    string          // of the settings file; empty if none was read
}

// ReadSettings reads a file that holds one list (granitewing …). An empty path gives the defaults. A fault in the file
// is a *settings.Error.
func ReadSettings(path string) (*Settings, error) {
	s := &Settings{}
	if path == "" {
		return s, nil
	}
	s.path = path
	return s, settings.DecodeFile(path, "granitewing", s)
}

// Logger returns a logger that writes to w.
func (s LogSettings) Logger(w io.Writer) *slog.Logger {
	level := slog.LevelInfo
	if s.Level != "" {
		level.UnmarshalText([]byte(s.Level)) // the one-of tag ensures that this is a valid level
	}
	switch {
	case s.Format == "json":
		return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}))
	case s.Format != "text" && isTerminal(w):
		return slog.New(tint.NewHandler(w, &tint.Options{Level: level, TimeFormat: time.TimeOnly}))
	}
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}))
}

func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// Describe explains a configuration and settings to an operator, one line per subject.
func Describe(w io.Writer, env func(string) string, product *Settings) error {
	cfg, err := Load(env)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "dispatcher %s listens on %s and asks discovery at %s\n", cfg.Name, cfg.Listen, cfg.Discovery)
	fmt.Fprintf(w, "limits: %g cores, %d MB, %d descriptors\n", cfg.Cores, cfg.MemoryMB, cfg.Sockets)
	fmt.Fprintf(w, "cached list: revision %d, %d hosts\n", cfg.Known.Revision, len(cfg.Known.Hosts))
	s := &cfg.Settings
	fmt.Fprintf(w, "attempts: at most %d a message; %d messages open at most (0 = no limit)\n", max(s.MaxAttempts, 1), s.MaxOpen)
	if s.MayCopy {
		fmt.Fprintln(w, "copies: a second copy may be sent while the first waits, where the class allows a repeat")
	}
	if s.RetriesUnmarked {
		fmt.Fprintln(w, "retries: clients do not mark them; less time left than the class's deadline tells")
	}
	for _, t := range s.Tenants {
		fmt.Fprintf(w, "tenant %s: %g jobs a second over %d dispatchers; one beyond them counts %g of its worth\n", t.Name, t.Quota, s.Schedulers, s.OverQuotaValue)
	}
	us := func(v int64) time.Duration { return time.Duration(v) * time.Microsecond }
	repeats := []string{"must never run twice", "keyed: a rack drops repeats", "safe to repeat"}
	for _, c := range s.Classes {
		fmt.Fprintf(w, "class %s: wanted within %v plus %g times its work, given up after %v, worth %g, %s\n",
			c.Name, us(c.TargetLatency), c.TargetPerWork, us(c.Deadline), c.Value, repeats[c.Repeat])
	}
	if product != nil && product.Fleet != nil {
		f := product.Fleet
		fmt.Fprintf(w, "fleet %s: member %s at %s, joins %s; tells the others every %v, news counts for %v\n",
			f.Label, cfg.Name, f.Bind, strings.Join(f.Join, " "), f.ReportInterval, f.MaxReportAge)
		if f.Limits != nil {
			if err := f.describeLimits(w, cfg); err != nil {
				return err
			}
		}
		if err := f.describeGangs(w, cfg); err != nil {
			return err
		}
	}
	if product == nil || product.Records == nil {
		return nil
	}
	classes, err := product.Records.classes(cfg)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "store of record: %s %s; a write over %v is not waited for\n", product.Records.Store.Kind, product.Records.Store.location(), product.Records.SlowWrite)
	meaning := []string{"not recorded", "written behind", "durable before its client is told", "durable before it is sent and before its client is told"}
	for _, c := range classes {
		fmt.Fprintf(w, "class %s: %s", c.Name, meaning[c.Policy])
		if c.Window > 0 {
			fmt.Fprintf(w, "; a repeated key is answered from the record for %v", us(c.Window))
		}
		fmt.Fprintln(w)
	}
	return nil
}
