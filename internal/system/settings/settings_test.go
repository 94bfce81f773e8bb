package settings

import (
	"errors"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitewing/internal/system/tolerance"
)

const validFile = `
node-name = "edge-a-1"
role = "carrier"
ip = "10.1.0.40"
zone = "a"
port-range = [7780,7795]
seeds = ["10.1.0.43:8064","10.2.0.43:8064"]
bootstrap = true
a-key-of-later = 5
[listen]
front = "10.1.0.40:8069"
control = "10.1.0.40:8064"
[limits]
memory-mb = 284
disk-mb = 400
bandwidth-mbps = 600.0
[fault-tolerance]
machines = 1
zones = 2
regions = 0
[zones]
a = "north"
b = "south"
[bounds]
grace-s = 6
status-s = 120
[cloud]
address = "10.200.0.70:8065"
`

var _ = ginkgo.Describe("The settings file", func() {
	ginkgo.It("is parsed, ignoring unknown keys of later versions", func() {
		s, err := Parse("local.toml", []byte(validFile))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Tolerance).To(Equal(tolerance.Tolerance{Machines: 1, Zones: 2, RegionOf: map[string]string{"a": "north", "b": "south"}}))
		Expect(s.Bounds.Grace).To(Equal(6 * time.Second))
		Expect(s.Limits.DiskBytes).To(Equal(int64(400 << 20)))
		Expect(s.RepairRate()).To(Equal(600e6 / 8 * 0.25))
		Expect(s.KeeperAddress("10.2.0.43")).To(Equal("10.2.0.43:7780"))
		Expect(s.StoreAddress()).To(Equal("10.1.0.40:7781"))
		Expect(s.CarrierAddress()).To(Equal("10.1.0.40:7782"))
		Expect(s.SeedKeepers()).To(Equal([]string{"10.1.0.43:7780", "10.2.0.43:7780"}))
		Expect(s.ControlAddress("10.2.0.43:7780")).To(Equal("10.2.0.43:8064"))
	})

	ginkgo.It("limits the repair rate to a share of the link", func() {
		s, err := Parse("local.toml", []byte(validFile+"[repair]\nlink-share = 0.5\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.RepairRate()).To(Equal(600e6 / 8 * 0.5))
	})

	ginkgo.DescribeTable("is rejected with the key at fault", func(old, new, key string) {
		_, err := Parse("local.toml", []byte(strings.Replace(validFile, old, new, 1)))
		var fault *Error
		Expect(errors.As(err, &fault)).To(BeTrue())
		Expect(fault.Key).To(Equal(key))
		Expect(fault.File).To(Equal("local.toml"))
	},
		ginkgo.Entry("no name", `node-name = "edge-a-1"`, "", "node-name"),
		ginkgo.Entry("no address", `ip = "10.1.0.40"`, `ip = "here"`, "ip"),
		ginkgo.Entry("too few ports", "[7780,7795]", "[7780,7781]", "port-range"),
		ginkgo.Entry("no seeds", `seeds = ["10.1.0.43:8064","10.2.0.43:8064"]`, "seeds = []", "seeds"),
		ginkgo.Entry("a seed without port", `"10.2.0.43:8064"`, `"10.2.0.43"`, "seeds[1]"),
		ginkgo.Entry("a listener without port", `front = "10.1.0.40:8069"`, `front = "10.1.0.40"`, "listen.front"),
		ginkgo.Entry("negative tolerance", "machines = 1", "machines = -1", "fault-tolerance.machines"),
		ginkgo.Entry("a link share of zero for repairs", "[cloud]", "[repair]\nlink-share = 0\n[cloud]", "repair.link-share"),
		ginkgo.Entry("a link share above one for repairs", "[cloud]", "[repair]\nlink-share = 1.5\n[cloud]", "repair.link-share"),
		ginkgo.Entry("invalid TOML", `zone = "a"`, `zone = `, ""),
	)

	ginkgo.It("yields an error of its own type if it does not exist", func() {
		_, err := Load("/nowhere/local.toml")
		var fault *Error
		Expect(errors.As(err, &fault)).To(BeTrue())
	})
})
