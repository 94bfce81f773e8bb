package command

import (
	"bytes"
	"os"
	"path/filepath"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitewing/internal/system/settings"
)

var _ = ginkgo.Describe("The command line", func() {
	run := func(arguments ...string) (code int, output, errors string) {
		var out, err bytes.Buffer
		code = Execute(arguments, &out, &err)
		return code, out.String(), err.String()
	}

	ginkgo.It("lists its subcommands, each with an example", func() {
		code, output, _ := run("--help")
		Expect(code).To(BeZero())
		for _, role := range []string{"carrier", "keeper", "store", "check", "inspect", "status"} {
			Expect(output).To(ContainSubstring(role))
			_, help, _ := run(role, "--help")
			Expect(help).To(ContainSubstring("Examples:"))
		}
	})

	ginkgo.It("exits with 2 and one line of output on wrong usage", func() {
		for _, arguments := range [][]string{{"keeper", "extra"}, {"keeper", "--nothing"}, {"nobody"}, {"check"}, {"status"}} {
			code, _, errors := run(arguments...)
			Expect(code).To(Equal(exitUsage), "%v", arguments)
			Expect(bytes.Count([]byte(errors), []byte("\n"))).To(Equal(1), errors)
		}
	})

	ginkgo.It("exits with 2 if the settings are not valid, and names the key", func() {
		path := filepath.Join(ginkgo.GinkgoT().TempDir(), "local.toml")
		Expect(os.WriteFile(path, []byte(`node-name = "x"`), 0o644)).To(Succeed())
		ginkgo.GinkgoT().Setenv(settings.PathVariable, path)
		code, _, errors := run("store")
		Expect(code).To(Equal(exitUsage))
		Expect(errors).To(ContainSubstring("ip"))
	})

	ginkgo.It("validates a configuration", func() {
		path := filepath.Join(ginkgo.GinkgoT().TempDir(), "configuration.json")
		Expect(os.WriteFile(path, []byte(`{"resource-version":3,"routes":[],"services":[]}`), 0o644)).To(Succeed())
		code, output, _ := run("check", "configuration", path)
		Expect(code).To(BeZero())
		Expect(output).To(ContainSubstring("version 3"))
		Expect(os.WriteFile(path, []byte(`{"routes":[],"services":[]}`), 0o644)).To(Succeed())
		code, _, errors := run("check", "configuration", path)
		Expect(code).To(Equal(exitFailed))
		Expect(errors).To(ContainSubstring("resource-version"))
	})
})
