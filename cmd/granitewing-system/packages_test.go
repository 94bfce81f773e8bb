package main

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// TestPackages compares the Debian packages listed in deploy/system.toml with the packages that own the files which a build
// with cgo and the external linker runs and opens. It fails when a needed package is missing or a listed one is not needed.
func TestPackages(t *testing.T) {
	if _, err := exec.LookPath("dpkg"); err != nil {
		t.Skip("not a Debian system")
	}
	var deploy struct {
		Packages []string `toml:"packages"`
	}
	data, err := os.ReadFile("../../deploy/system.toml")
	if err != nil {
		t.Fatal(err)
	}
	if err := toml.Unmarshal(data, &deploy); err != nil {
		t.Fatal(err)
	}
	if !slices.IsSorted(deploy.Packages) {
		t.Error("the packages are not sorted")
	}
	installed := dependencyClosure(t, deploy.Packages)
	needed := owningPackages(buildFiles(t))
	for owner, file := range needed {
		if !installed[owner] {
			t.Errorf("%s is used, and its package %s is neither listed nor a dependency of a listed package", file, owner)
		}
	}
	for _, listed := range deploy.Packages {
		if _, used := needed[listed]; !used && listed != "ca-certificates" && listed != "binutils" {
			t.Errorf("no file of the listed package %s is used", listed)
		}
	}
	if len(needed) < 3 {
		t.Errorf("found only %v as used packages: the test looks in the wrong place", needed)
	}
}

// output runs a program and returns its trimmed output.
func output(t *testing.T, name string, arguments ...string) string {
	t.Helper()
	out, err := exec.Command(name, arguments...).CombinedOutput()
	if err != nil {
		t.Fatalf("%s %v: %v: %s", name, arguments, err, out)
	}
	return strings.TrimSpace(string(out))
}

// dependencyClosure returns the installed packages among the named ones and their direct and indirect dependencies.
func dependencyClosure(t *testing.T, names []string) map[string]bool {
	reached := map[string]bool{}
	name := regexp.MustCompile(`^[a-z0-9][a-z0-9+.-]*`)
	for queue := slices.Clone(names); len(queue) > 0; queue = queue[1:] {
		if reached[queue[0]] {
			continue
		}
		out, err := exec.Command("dpkg-query", "-W", "-f", "${Depends}, ${Pre-Depends}", queue[0]).Output()
		if err != nil {
			if slices.Contains(names, queue[0]) {
				t.Errorf("the listed package %s is not installed here", queue[0])
			}
			continue // a virtual package, or an alternative that is not installed
		}
		reached[queue[0]] = true
		for _, dependency := range strings.FieldsFunc(string(out), func(r rune) bool { return r == ',' || r == '|' }) {
			if found := name.FindString(strings.TrimSpace(dependency)); found != "" {
				queue = append(queue, found)
			}
		}
	}
	return reached
}

// buildFiles returns the system files that a build with cgo runs and opens: the programs of the compiler and linker, the
// objects and libraries they link, and the headers that the standard library's C code includes.
func buildFiles(t *testing.T) []string {
	compiler, err := exec.LookPath("gcc")
	if err != nil {
		t.Fatal(err)
	}
	files := []string{compiler}
	for _, program := range []string{"cc1", "as", "collect2", "ld"} {
		path := output(t, "gcc", "-print-prog-name="+program)
		if found, err := exec.LookPath(path); err == nil {
			path = found
		}
		files = append(files, path)
	}
	for _, linked := range []string{"crt1.o", "crti.o", "crtbegin.o", "libgcc.a", "libc.so", "libpthread.a"} {
		files = append(files, output(t, "gcc", "-print-file-name="+linked))
	}
	source := filepath.Join(t.TempDir(), "all.c")
	if err := os.WriteFile(source, []byte(strings.Join(includes(t), "\n")+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	scanner := bufio.NewScanner(strings.NewReader(output(t, "gcc", "-D_GNU_SOURCE", "-M", source)))
	for scanner.Scan() {
		for _, word := range strings.Fields(scanner.Text()) {
			if filepath.IsAbs(word) && word != source {
				files = append(files, word)
			}
		}
	}
	return files
}

// includes returns the #include lines for system headers in the C code of the standard library's cgo packages.
func includes(t *testing.T) []string {
	root := output(t, "go", "env", "GOROOT")
	otherPlatform := regexp.MustCompile(`_(darwin|windows|freebsd|netbsd|openbsd|dragonfly|solaris|aix|android|s390x|ppc64x?|arm64|arm|riscv64|mips.*|loong64|386|msan|asan)\.|_bsd|_unix_cgo_darwin|libresolv`)
	line := regexp.MustCompile(`^#include <(.+)>`)
	var found []string
	for _, folder := range []string{"runtime/cgo", "net", "os/user"} {
		files, err := filepath.Glob(filepath.Join(root, "src", folder, "*"))
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			data, err := os.ReadFile(file)
			if err != nil || otherPlatform.MatchString(filepath.Base(file)) || strings.HasSuffix(file, "_test.go") {
				continue
			}
			for _, text := range strings.Split(string(data), "\n") {
				header := line.FindStringSubmatch(text)
				if header == nil || slices.Contains(found, text) {
					continue
				}
				if _, err := os.Stat(filepath.Join("/usr/include", header[1])); err == nil || header[1] == "stdint.h" {
					found = append(found, text)
				}
			}
		}
	}
	if len(found) < 5 || runtime.GOOS != "linux" {
		t.Fatalf("found only %v as included headers", found)
	}
	return found
}

// owningPackages returns the packages that own the files, each with one of its files.
func owningPackages(files []string) map[string]string {
	var names []string
	for _, file := range files {
		names = append(names, file)
		if path, err := filepath.EvalSymlinks(file); err == nil {
			// If /lib is a symbolic link to /usr/lib, a package may list the file under either path.
			names = append(names, path, strings.TrimPrefix(path, "/usr"))
		}
	}
	slices.Sort(names)
	// dpkg exits with an error if no package owns one of the names, but still reports the others.
	out, _ := exec.Command("dpkg", append([]string{"-S"}, slices.Compact(names)...)...).Output()
	found := map[string]string{}
	for _, line := range strings.Split(string(out), "\n") {
		if packages, file, owned := strings.Cut(line, ": "); owned {
			owner, _, _ := strings.Cut(packages, ":")
			found[owner] = file
		}
	}
	return found
}
