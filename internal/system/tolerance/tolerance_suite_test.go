package tolerance

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestTolerance(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Tolerance")
}

var regionOf = map[string]string{"a": "r1", "b": "r1", "c": "r2", "d": "r3"}

// subsets calls visit with every subset of places and its complement.
func subsets(places []string, visit func(in, out []string)) {
	for set := range 1 << len(places) {
		var in, out []string
		for i, place := range places {
			if set&(1<<i) != 0 {
				in = append(in, place)
			} else {
				out = append(out, place)
			}
		}
		visit(in, out)
	}
}

var _ = Describe("Tolerance", func() {
	places := []string{"a", "a", "b", "b", "c", "c", "d"}

	It("never allows a loss of all disks of a message, whatever is tolerated", func() {
		for machines := range 3 {
			for zones := range 3 {
				for regions := range 2 {
					t := &Tolerance{Machines: machines, Zones: zones, Regions: regions, RegionOf: regionOf}
					subsets(places, func(in, _ []string) {
						if len(in) > 0 && t.SufficientReplicas(in) {
							Expect(t.MayBeLost(in)).To(BeFalse(), "%+v %v", t, in)
						}
					})
				}
			}
		}
	})

	It("chooses enough disks in addition to existing ones, the best first and no more than needed", func() {
		for machines := range 3 {
			for zones := range 3 {
				t := &Tolerance{Machines: machines, Zones: zones, RegionOf: regionOf}
				subsets(places, func(existing, candidates []string) {
					chosen := append([]string(nil), existing...)
					for _, pick := range t.ChooseReplicas(existing, candidates) {
						chosen = append(chosen, candidates[pick])
					}
					Expect(t.SufficientReplicas(chosen)).To(BeTrue(), "%+v %v", t, existing)
					Expect(len(chosen)).To(BeNumerically("<=", max(len(existing)+t.MinReplicas(), t.MinReplicas())))
				})
			}
		}
		machinesOnly := &Tolerance{Machines: 2, RegionOf: regionOf}
		Expect(machinesOnly.ChooseReplicas(nil, []string{"a", "a", "a", "b"})).To(Equal([]int{0, 1, 2}))
		machinesAndZone := &Tolerance{Machines: 2, Zones: 1, RegionOf: regionOf}
		Expect(machinesAndZone.ChooseReplicas(nil, []string{"a", "a", "a", "b"})).To(Equal([]int{0, 1, 3}))
		Expect(machinesAndZone.ChooseReplicas([]string{"b"}, []string{"a", "a"})).To(Equal([]int{0, 1}))
		Expect(machinesAndZone.ChooseReplicas(nil, []string{"a"})).To(Equal([]int{0}))
	})

	It("reports whether voters keep a majority", func() {
		three := &Tolerance{Machines: 1, Zones: 1}
		Expect(three.MajoritySurvives([]string{"a", "b", "c"})).To(BeTrue())
		Expect(three.MajoritySurvives([]string{"a", "b", "b"})).To(BeFalse())
		Expect((&Tolerance{Machines: 1}).MajoritySurvives([]string{"a", "b", "b"})).To(BeTrue())
		Expect((&Tolerance{Machines: 2}).MajoritySurvives([]string{"a", "b", "b", "c"})).To(BeFalse())
		five := &Tolerance{Machines: 2, Zones: 1}
		Expect(five.MajoritySurvives([]string{"a", "a", "b", "b", "c"})).To(BeTrue())
		Expect(five.MajoritySurvives([]string{"a", "a", "a", "b", "c"})).To(BeFalse())
		regional := &Tolerance{Regions: 1, RegionOf: regionOf}
		Expect(regional.MajoritySurvives([]string{"a", "c", "d"})).To(BeTrue())
		Expect(regional.MajoritySurvives([]string{"a", "b", "c"})).To(BeFalse())
	})

	It("requires as many copies and voters as the largest loss needs", func() {
		t := &Tolerance{Machines: 1, Zones: 2}
		Expect(t.MinReplicas()).To(Equal(3))
		Expect(t.Voters()).To(Equal(5))
		Expect((&Tolerance{}).MinReplicas()).To(Equal(1))
	})
})
