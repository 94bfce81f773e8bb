package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
)

// Three processes agree on a dealer; when it ends another deals. The amount of a limit follows the dealer's file at SIGHUP,
// and a file that is wrong changes nothing.
func TestLimitsOfProcesses(t *testing.T) {
	t.Parallel()
	limits := func(open string) string {
		return fmt.Sprintf(`(every 50ms) (limits (keepers n0 n1 n2) (lease 500ms) (limit alerts (class alert-send) (rate %s)))`, open)
	}
	bind := free(t)
	var all []*process
	for i := range 3 {
		all = append(all, run(t, fmt.Sprint("n", i), fmt.Sprintf(`(label "t") (bind %q) (join %q) %s`, []string{bind, free(t), free(t)}[i], bind, limits("20"))))
	}
	dealt := func(by string, amount float64) func(*status) bool {
		return func(s *status) bool {
			return s.Dealer == by && len(s.Limits) == 1 && s.Limits[0].Connected && s.Limits[0].Amount == amount && s.Limits[0].Rights > 0
		}
	}
	for _, p := range all {
		until(t, p.door, "rights of n0", dealt("n0", 20))
	}
	rewrite := func(amount string) {
		for _, arg := range all[0].cmd.Args {
			if strings.HasSuffix(arg, "own.sexp") {
				b, err := os.ReadFile(arg)
				if err != nil {
					t.Fatal(err)
				}
				at := strings.Index(string(b), "(rate ")
				end := at + strings.Index(string(b[at:]), ")")
				if err := os.WriteFile(arg, []byte(string(b[:at])+"(rate "+amount+string(b[end:])), 0o600); err != nil {
					t.Fatal(err)
				}
			}
		}
		all[0].signal(t, syscall.SIGHUP)
	}
	rewrite("30")
	until(t, all[0].door, "the new amount", dealt("n0", 30))
	rewrite("-1")
	rewrite("40")
	until(t, all[0].door, "the amount after one that is wrong", dealt("n0", 40))
	all[0].signal(t, syscall.SIGKILL)
	for _, p := range all[1:] {
		until(t, p.door, "rights of another dealer", func(s *status) bool { return dealt("n1", 20)(s) || dealt("n2", 20)(s) })
	}
}
