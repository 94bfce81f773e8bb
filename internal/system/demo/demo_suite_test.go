package demo

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDemo(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Demo")
}

var _ = Describe("The whole system on loopback", func() {
	It("accepts, delivers and reports messages, also after a machine is stopped", func(ctx context.Context) {
		folder := GinkgoT().TempDir()
		binary := filepath.Join(folder, "granitewing")
		built, err := exec.CommandContext(ctx, "go", "build", "-o", binary, "granitewing/cmd/granitewing-system").CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(built))
		var output bytes.Buffer
		DeferCleanup(func() {
			if !CurrentSpecReport().Failed() {
				return
			}
			logs, _ := filepath.Glob(filepath.Join(folder, "*", "*.log"))
			for _, log := range logs {
				text, _ := os.ReadFile(log)
				GinkgoWriter.Printf("%s:\n%s\n", log, text)
			}
		})
		Expect(Run(ctx, Options{Binary: binary, Folder: folder, Output: &output})).To(Succeed(), output.String())
		for _, line := range []string{`message first-\d+ was accepted by edge-1`, "edge-2 reports it as succeeded", "group +sessions +leader 127",
			"storage-1 was stopped", `message second-\d+ was accepted by edge-2`, `ran it 1 time\(s\)`} {
			Expect(output.String()).To(MatchRegexp(line))
		}
	})
})
