package store

import (
	"testing"

	. "github.com/onsi/gomega"

	"granitewing/internal/system/member"
	"granitewing/internal/system/ownership"
	"granitewing/internal/system/session"
	"granitewing/internal/system/wire"
)

// logRecorder records the errors that are logged.
type logRecorder struct {
	RepairEnvironment
	errors []error
}

func (r *logRecorder) LogWarning(_ string, err error) { r.errors = append(r.errors, err) }

// Guards against accepted messages that wait for nobody and that no log tells of.
func TestUnitsThatNobodyIsResponsibleForAreLoggedOnce(t *testing.T) {
	f := newFixture(t)
	unitOf := ownership.CarrierUnit
	for _, incarnation := range []string{"live", "departed", "settled"} {
		m := newMessage(incarnation)
		m.Unit = unitOf(incarnation)
		f.core.Put(m, 0, func(*wire.RefusalBody) {})
	}
	f.flush()
	Expect(f.core.LongPendingCarrierUnits()).To(BeEmpty())
	f.advance(longPendingAfter)
	units := f.core.LongPendingCarrierUnits()
	Expect(units).To(ConsistOf(unitOf("live"), unitOf("departed"), unitOf("settled")))
	view := &member.View{Members: map[string]session.Member{"live": {}}, Departed: map[string]session.Departed{"departed": {}}}
	orphaned := orphanedUnits(units, view)
	Expect(orphaned).To(Equal([]string{unitOf("settled")}))
	recorder := &logRecorder{}
	reporter := NewOrphanReporter(recorder, nil, nil)
	for range 3 {
		reporter.report(orphaned)
	}
	Expect(recorder.errors).To(Equal([]error{&OrphanedUnitsError{Units: orphaned}}))
}
