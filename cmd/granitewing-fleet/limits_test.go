package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
)

// Three processes agree on a dealer, and another one takes over when it dies. At SIGHUP the dealer's limit follows its
// settings file; an invalid file changes nothing.
func TestDealerFailoverAndLimitReload(t *testing.T) {
	t.Parallel()
	limits := func(open string) string {
		return fmt.Sprintf(`(every 50ms) (limits (keepers n0 n1 n2) (lease 500ms) (limit alerts (class alert-send) (rate %s)))`, open)
	}
	bind := freeAddress(t)
	var all []*process
	for i := range 3 {
		all = append(all, run(t, fmt.Sprint("n", i), fmt.Sprintf(`(label "t") (bind %q) (join %q) %s`, []string{bind, freeAddress(t), freeAddress(t)}[i], bind, limits("20"))))
	}
	dealt := func(by string, amount float64) func(*status) bool {
		return func(s *status) bool {
			return s.Dealer == by && len(s.Limits) == 1 && s.Limits[0].Connected && s.Limits[0].Amount == amount && s.Limits[0].Rights > 0
		}
	}
	for _, p := range all {
		waitForStatus(t, p.admin, "rights of n0", dealt("n0", 20))
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
	waitForStatus(t, all[0].admin, "the new amount", dealt("n0", 30))
	rewrite("-1")
	rewrite("40")
	waitForStatus(t, all[0].admin, "the amount after an invalid one", dealt("n0", 40))
	all[0].signal(t, syscall.SIGKILL)
	for _, p := range all[1:] {
		waitForStatus(t, p.admin, "rights of another dealer", func(s *status) bool { return dealt("n1", 20)(s) || dealt("n2", 20)(s) })
	}
}
