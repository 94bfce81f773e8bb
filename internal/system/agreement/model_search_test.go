package agreement

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// search visits all states within the bounds, nearest first. It gives the moves to a broken one, nil where there is none.
func (m *model) search(most int) (trace []string, visited int) {
	type step struct {
		from int
		name string
	}
	first := initialState()
	states := []modelState{first}
	steps := []step{{from: -1}}
	known := map[modelState]bool{first: true}
	for at := 0; at < len(states) && len(states) < most; at++ {
		found := -1
		m.transitions(&states[at], func(name string, next modelState) {
			if found >= 0 || known[next] {
				return
			}
			known[next] = true
			states, steps = append(states, next), append(steps, step{from: at, name: name})
			if next.violatesSafety(m.bounds.members) {
				found = len(states) - 1
			}
		})
		for found >= 0 && steps[found].from >= 0 {
			trace = append([]string{steps[found].name}, trace...)
			found = steps[found].from
		}
		if trace != nil {
			return trace, len(states)
		}
	}
	return nil, len(states)
}

// play follows a trace; it gives the number of moves that were possible, and whether the end is broken.
func (m *model) replay(trace []string) (possible int, broken bool) {
	s := initialState()
	for _, wanted := range trace {
		var reached *modelState
		m.transitions(&s, func(name string, next modelState) {
			if name == wanted && reached == nil {
				reached = &next
			}
		})
		if reached == nil {
			return possible, false
		}
		s = *reached
		possible++
	}
	return possible, s.violatesSafety(m.bounds.members)
}

// mutantBounds are wide enough for the counter-example of a mutant.
func mutationBounds(name string) bounds {
	switch name {
	case "leader-opens-term":
		// Too deep for a search within seconds: written by hand, after the fault in the first publication of such changes.
		return bounds{members: 5, bootstrap: 0b01111, terms: 3, entries: 4, changes: 2}
	case "snapshot-keeps":
		return bounds{members: 3, bootstrap: 0b111, terms: 3, entries: 3, installs: 1}
	case "both-electorates":
		return bounds{members: 4, bootstrap: 0b0111, terms: 2, entries: 3, changes: 2, joint: true}
	case "joint-committed":
		return bounds{members: 4, bootstrap: 0b0111, terms: 3, entries: 4, changes: 3, joint: true}
	case "own-term-commits", "previous-entry-fits":
		return bounds{members: 3, bootstrap: 0b111, terms: 4, entries: 3}
	case "synced-counts", "one-vote-in-term", "logs-compared":
		return bounds{members: 3, bootstrap: 0b111, terms: 3, entries: 3, crashes: 1}
	}
	return bounds{members: 4, bootstrap: 0b0111, terms: 3, entries: 4, changes: 2, crashes: 1}
}

var _ = ginkgo.Describe("The model of a group and its changes", func() {
	searchesWhole := func(b bounds, most int) {
		m := &model{rules: allRules(), bounds: b}
		trace, visited := m.search(most)
		Expect(trace).To(BeNil(), strings.Join(trace, "\n"))
		Expect(visited).To(BeNumerically("<", most), "the search is whole")
		ginkgo.AddReportEntry("states", visited)
	}
	ginkgo.DescribeTable("finds nothing with all rules in force", func(b bounds) { searchesWhole(b, 1_000_000) },
		ginkgo.Entry("three members that may be let go", bounds{members: 3, bootstrap: 0b111, terms: 2, entries: 3, changes: 2, crashes: 1}),
		ginkgo.Entry("three members, one of which installs a snapshot", bounds{members: 3, bootstrap: 0b111, terms: 3, entries: 3, installs: 1}),
		ginkgo.Entry("three members and a newcomer", bounds{members: 4, bootstrap: 0b0111, terms: 2, entries: 3, changes: 1, crashes: 1}),
		ginkgo.Entry("two members and two newcomers", bounds{members: 4, bootstrap: 0b0011, terms: 2, entries: 3, changes: 1, crashes: 1}),
		ginkgo.Entry("five members", bounds{members: 5, bootstrap: 0b11111, terms: 2, entries: 2}),
		ginkgo.Entry("three members, one of which a newcomer replaces", bounds{members: 4, bootstrap: 0b0111, terms: 2, entries: 3, changes: 2, joint: true}),
	)

	ginkgo.DescribeTable("finds nothing within wider bounds, asked for by WIDE_SEARCH=1", func(b bounds) {
		if os.Getenv("WIDE_SEARCH") == "" {
			ginkgo.Skip("asked for by WIDE_SEARCH=1")
		}
		searchesWhole(b, 12_000_000)
	},
		ginkgo.Entry("three members, three terms", bounds{members: 3, bootstrap: 0b111, terms: 3, entries: 4, changes: 2, crashes: 1}),
		ginkgo.Entry("three members and a newcomer, three terms", bounds{members: 4, bootstrap: 0b0111, terms: 3, entries: 3, changes: 1}),
		ginkgo.Entry("three members, one of which a newcomer replaces, three terms", bounds{members: 4, bootstrap: 0b0111, terms: 3, entries: 3, changes: 2, joint: true}),
		ginkgo.Entry("five members, one of which may be let go", bounds{members: 5, bootstrap: 0b11111, terms: 2, entries: 3, changes: 1}),
	)

	ginkgo.It("finds the kept counter-example where a rule is taken away, and that the rule forbids it", func() {
		for name, taken := range mutations() {
			text, err := os.ReadFile(filepath.Join("testdata", "model", name+".txt"))
			Expect(err).NotTo(HaveOccurred())
			trace := strings.Split(strings.TrimSpace(string(text)), "\n")
			mutant := &model{rules: taken, bounds: mutationBounds(name)}
			possible, broken := mutant.replay(trace)
			Expect(possible).To(Equal(len(trace)), name)
			Expect(broken).To(BeTrue(), name)
			whole := &model{rules: allRules(), bounds: mutationBounds(name)}
			_, broken = whole.replay(trace)
			Expect(broken).To(BeFalse(), name)
		}
	})

	// Asked for by name, it searches for the counter-examples anew.
	ginkgo.It("keeps counter-examples", func() {
		if os.Getenv("KEEP_COUNTEREXAMPLES") == "" {
			ginkgo.Skip("asked for by KEEP_COUNTEREXAMPLES=1")
		}
		var names []string
		for name := range mutations() {
			names = append(names, name)
		}
		sort.Strings(names)
		for _, name := range names {
			if name == "leader-opens-term" {
				continue
			}
			m := &model{rules: mutations()[name], bounds: mutationBounds(name)}
			trace, visited := m.search(12_000_000)
			fmt.Printf("%s: %d moves, %d states\n", name, len(trace), visited)
			Expect(trace).NotTo(BeNil(), name)
			Expect(os.WriteFile(filepath.Join("testdata", "model", name+".txt"), []byte(strings.Join(trace, "\n")+"\n"), 0o600)).To(Succeed())
		}
	})
})
