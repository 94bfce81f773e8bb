package simulation

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSimulation(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Simulation")
}

var _ = Describe("Scenarios", func() {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		panic("no scenario files in testdata")
	}
	// The first spec runs all files in parallel; the others use its results.
	runs := sync.OnceValue(func() []fileRun { return runFiles(files) })
	for i, file := range files {
		It(filepath.Base(file), func() {
			run := runs()[i]
			Expect(run.err).NotTo(HaveOccurred())
			scenario, result := run.scenario, run.result
			Expect(result.Broken).To(BeEmpty())
			for share, least := range scenario.MinShares {
				Expect(result.Shares[share]).To(BeNumerically(">=", least), "share "+string(share))
			}
			Expect(result.Expired).To(BeNumerically("<=", scenario.MaxExpired), "share expired")
			Expect(result.Retired).To(Equal(scenario.Retired), "machines drained and removed")
			if scenario.MaxSpread > 0 {
				Expect(result.OwnershipSpread).To(BeNumerically("<=", scenario.MaxSpread), "spread of units")
			}
		})
	}
})

// fileRun is the scenario of a file and the result of its run.
type fileRun struct {
	scenario *Scenario
	result   *Result
	err      error
}

// runFiles runs the scenarios of files on all processors.
func runFiles(files []string) []fileRun {
	runs := make([]fileRun, len(files))
	eachSeed(0, uint64(len(files)), func(at uint64) {
		run := &runs[at]
		text, err := os.ReadFile(files[at])
		if err == nil {
			run.scenario, err = Parse(string(text))
		}
		if err == nil {
			run.result, err = Run(run.scenario)
		}
		run.err = err
	})
	return runs
}

// scheduleRange returns the first seed and the number of drawn scenarios to run. The environment variables
// FIRST_SCHEDULE and SCHEDULES override them.
func scheduleRange() (first, count uint64) {
	read := func(name string, otherwise uint64) uint64 {
		value, err := strconv.ParseUint(os.Getenv(name), 10, 64)
		if err != nil {
			return otherwise
		}
		return value
	}
	return read("FIRST_SCHEDULE", 1), read("SCHEDULES", 24)
}

// eachSeed calls do for count consecutive seeds, on all processors.
func eachSeed(first, count uint64, do func(seed uint64)) {
	seeds := make(chan uint64)
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for seed := range seeds {
				func() {
					defer GinkgoRecover()
					do(seed)
				}()
			}
		})
	}
	for seed := first; seed < first+count; seed++ {
		seeds <- seed
	}
	close(seeds)
	workers.Wait()
}

// describeFailure describes a failing scenario and the first rules that it breaks.
func describeFailure(s *Scenario, result *Result, err error) string {
	const most = 3
	if err != nil {
		return fmt.Sprintf("%s%v\n", s, err)
	}
	return fmt.Sprintf("%s%s\n", s, strings.Join(result.Broken[:min(len(result.Broken), most)], "\n"))
}

func breaksRules(s *Scenario) bool {
	result, err := Run(s)
	return err != nil || len(result.Broken) > 0
}

// failingSchedules runs drawn scenarios, and describes those that break rules.
func failingSchedules(first, count uint64, draw func(seed uint64) *Scenario) []string {
	var found []string
	var mutex sync.Mutex
	eachSeed(first, count, func(seed uint64) {
		scenario := draw(seed)
		result, err := Run(scenario)
		if err == nil && len(result.Broken) == 0 {
			return
		}
		mutex.Lock()
		defer mutex.Unlock()
		found = append(found, describeFailure(scenario, result, err))
	})
	return found
}

var _ = Describe("Drawn schedules", func() {
	It("break no rule", func() {
		first, count := scheduleRange()
		if found := failingSchedules(first, count, Draw); len(found) > 0 {
			Fail(fmt.Sprintf("%d of %d schedules break rules:\n%s", len(found), count, strings.Join(found[:min(len(found), 12)], "\n")))
		}
	})
})
