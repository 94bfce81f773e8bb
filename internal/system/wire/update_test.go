package wire

import (
	"fmt"
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitewing/internal/system/catalog"
	"granitewing/internal/system/feed"
)

func TestWire(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Wire")
}

// workerTable returns a snapshot update with the given number of workers.
func workerTable(workers int) feed.Update {
	update := feed.Update{Position: feed.Position{Epoch: "e", Offset: uint64(workers)}, Snapshot: true}
	for i := range workers {
		instance := catalog.Instance{ID: fmt.Sprintf("i-%016x", uint64(i)*0x9e3779b97f4a7c15), Service: "archive",
			Address: fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250), Zone: "hann", Version: "v1", Capacity: 6}
		update.Changes = append(update.Changes, feed.Change{Key: "instance/" + instance.ID, Value: Encode(&instance)})
	}
	return update
}

var _ = ginkgo.Describe("A feed update", func() {
	ginkgo.DescribeTable("is decoded as it was encoded", func(workers int) {
		update := workerTable(workers)
		read, err := DecodeUpdate(EncodeUpdate(&update))
		Expect(err).NotTo(HaveOccurred())
		Expect(read).To(Equal(update))
	}, ginkgo.Entry("with one change", 1), ginkgo.Entry("with many changes", 3000))

	ginkgo.It("is compressed to less than half of its size if it is a snapshot", func() {
		update := workerTable(3000)
		Expect(len(EncodeUpdate(&update))).To(BeNumerically("<", len(Encode(&update))/2))
	})

	ginkgo.It("is rejected if its encoding is invalid", func() {
		update := workerTable(100)
		whole := EncodeUpdate(&update)
		for _, payload := range [][]byte{nil, {7}, whole[:len(whole)/2], append([]byte{updateCompressed}, 0xff, 0xff, 0xff, 0xff, 0x7f)} {
			_, err := DecodeUpdate(payload)
			Expect(err).To(HaveOccurred())
		}
	})
})

func BenchmarkUpdate(b *testing.B) {
	update := workerTable(3000)
	payload := EncodeUpdate(&update)
	b.ReportMetric(float64(len(payload))/float64(len(Encode(&update))), "share")
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			EncodeUpdate(&update)
		}
	})
	b.Run("decode", func(b *testing.B) {
		for b.Loop() {
			if _, err := DecodeUpdate(payload); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("encode plain", func(b *testing.B) {
		for b.Loop() {
			Encode(&update)
		}
	})
}
