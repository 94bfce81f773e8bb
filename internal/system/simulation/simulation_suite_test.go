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
		panic("no scenarios")
	}
	// All are played at once, when the first is asked for.
	played := sync.OnceValue(func() []scenarioPlay { return playFiles(files) })
	for i, file := range files {
		It(filepath.Base(file), func() {
			play := played()[i]
			Expect(play.err).NotTo(HaveOccurred())
			scenario, result := play.scenario, play.result
			Expect(result.Broken).To(BeEmpty())
			for share, least := range scenario.Least {
				Expect(result.Shares[share]).To(BeNumerically(">=", least), "share "+string(share))
			}
			Expect(result.Expired).To(BeNumerically("<=", scenario.Expired), "share expired")
			Expect(result.Retired).To(Equal(scenario.Retired), "machines emptied")
			if scenario.Spread > 0 {
				Expect(result.Spread).To(BeNumerically("<=", scenario.Spread), "spread of units")
			}
		})
	}
})

// scenarioPlay is a scenario of a file, and what its play came to.
type scenarioPlay struct {
	scenario *Scenario
	result   *Result
	err      error
}

// playFiles plays the scenarios of files, on all processors.
func playFiles(files []string) []scenarioPlay {
	plays := make([]scenarioPlay, len(files))
	eachSeed(0, uint64(len(files)), func(at uint64) {
		play := &plays[at]
		text, err := os.ReadFile(files[at])
		if err == nil {
			play.scenario, err = Parse(string(text))
		}
		if err == nil {
			play.result, err = Play(play.scenario)
		}
		play.err = err
	})
	return plays
}

// schedules is how many drawn schedules are played; SCHEDULES asks for more, FIRST_SCHEDULE for others.
func schedules() (first, count uint64) {
	read := func(name string, otherwise uint64) uint64 {
		value, err := strconv.ParseUint(os.Getenv(name), 10, 64)
		if err != nil {
			return otherwise
		}
		return value
	}
	return read("FIRST_SCHEDULE", 1), read("SCHEDULES", 24)
}

// eachSeed calls do for so many seeds, on all processors.
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

// describe gives a failing schedule and the first rules that it breaks.
func describe(s *Scenario, result *Result, err error) string {
	const most = 3
	if err != nil {
		return fmt.Sprintf("%s%v\n", s, err)
	}
	return fmt.Sprintf("%s%s\n", s, strings.Join(result.Broken[:min(len(result.Broken), most)], "\n"))
}

func failing(s *Scenario) bool {
	result, err := Play(s)
	return err != nil || len(result.Broken) > 0
}

// breaking plays drawn schedules, and describes those that break rules.
func breaking(first, count uint64, draw func(seed uint64) *Scenario) []string {
	var found []string
	var mutex sync.Mutex
	eachSeed(first, count, func(seed uint64) {
		scenario := draw(seed)
		result, err := Play(scenario)
		if err == nil && len(result.Broken) == 0 {
			return
		}
		mutex.Lock()
		defer mutex.Unlock()
		found = append(found, describe(scenario, result, err))
	})
	return found
}

var _ = Describe("Drawn schedules", func() {
	It("break no rule", func() {
		first, count := schedules()
		if found := breaking(first, count, Draw); len(found) > 0 {
			Fail(fmt.Sprintf("%d of %d schedules break rules:\n%s", len(found), count, strings.Join(found[:min(len(found), 12)], "\n")))
		}
	})
})
