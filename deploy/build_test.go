// Package deploy checks that the platform's build is what its page asks for.
package deploy

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// key reads a key of the deploy file, which has one string a line.
func key(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile("balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	m := regexp.MustCompile(`(?m)^` + name + `\s*=\s*"([^"]*)"`).FindSubmatch(text)
	if m == nil {
		t.Fatalf("balancer.toml: no %s", name)
	}
	return string(m[1])
}

// goBuild is the part of a build command that runs the compiler.
func goBuild(t *testing.T, command string) string {
	t.Helper()
	for part := range strings.SplitSeq(command, "&&") {
		if part = strings.TrimSpace(part); strings.Contains(part, "go build") {
			return part
		}
	}
	t.Fatalf("%q builds nothing", command)
	return ""
}

// dynamic tells what is wrong with the linking of a built file; nothing where it loads the C library.
func dynamic(path string) string {
	f, err := elf.Open(path)
	if err != nil {
		return err.Error()
	}
	defer f.Close()
	if !slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		return "it names no dynamic loader: it is linked statically"
	}
	libs, err := f.ImportedLibraries()
	if err != nil {
		return err.Error()
	}
	if !slices.ContainsFunc(libs, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		return "it does not load the C library, but " + strings.Join(libs, ", ")
	}
	return ""
}

// The platform preloads a library into the dispatcher, which only a file that is linked dynamically lets in.
func TestBuildIsDynamic(t *testing.T) {
	command := goBuild(t, key(t, "build"))
	out := filepath.Join(t.TempDir(), "granitewing")
	cmd := exec.Command("/bin/sh", "-c", strings.Replace(command, "-o bin/ ./cmd/...", "-o "+out+" ./cmd/granitewing", 1))
	cmd.Dir = ".."
	if text, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", command, err, text)
	}
	if wrong := dynamic(out); wrong != "" {
		t.Errorf("%s: %s", command, wrong)
	}
	static := filepath.Join(t.TempDir(), "static")
	cmd = exec.Command("go", "build", "-o", static, "./cmd/granitewing")
	cmd.Dir, cmd.Env = "..", append(os.Environ(), "CGO_ENABLED=0")
	if text, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("static build: %v\n%s", err, text)
	}
	if dynamic(static) == "" {
		t.Error("a file that was linked statically passes as dynamic")
	}
}

// The Makefile builds what the platform builds, and run replaces the shell, so that signals reach the dispatcher.
func TestMakefileBuildsAlike(t *testing.T) {
	text, err := os.ReadFile("../Makefile")
	if err != nil {
		t.Fatal(err)
	}
	if want := goBuild(t, key(t, "build")); !strings.Contains(string(text), "\t"+want+"\n") {
		t.Errorf("the Makefile does not run %q", want)
	}
	if run := key(t, "run"); run != "exec bin/granitewing" {
		t.Errorf("run is %q", run)
	}
}
