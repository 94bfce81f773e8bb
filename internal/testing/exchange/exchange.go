// Package exchange loads recorded byte exchanges from txtar files, for tests that feed them to a protocol
// implementation.
package exchange

import (
	"bytes"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"
)

// Load reads a txtar file and fails the test if it cannot.
func Load(t testing.TB, path string) *txtar.Archive {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return txtar.Parse(text)
}

var (
	repeatPattern = regexp.MustCompile(`\{(\d+)\*(.)\}`)
	bytePattern   = regexp.MustCompile(`\{x[0-9a-f]{2}\}`)
)

// Bytes returns the bytes that a section describes. A line ends in CR LF, or in nothing if it ends in a backslash.
// A line after "+" is one HTTP chunk that includes an LF. {N*c} stands for N times c, and {x0a} for the byte with
// that hexadecimal value.
func Bytes(section []byte) []byte {
	var out bytes.Buffer
	for line := range strings.Lines(string(section)) {
		line, chunk := strings.CutPrefix(strings.TrimSuffix(line, "\n"), "+")
		line = repeatPattern.ReplaceAllStringFunc(line, func(s string) string {
			m := repeatPattern.FindStringSubmatch(s)
			n, _ := strconv.Atoi(m[1])
			return strings.Repeat(m[2], n)
		})
		line = bytePattern.ReplaceAllStringFunc(line, func(s string) string {
			n, _ := strconv.ParseUint(s[2:4], 16, 8)
			return string([]byte{byte(n)})
		})
		if chunk {
			data := strings.TrimPrefix(line, " ")
			fmt.Fprintf(&out, "%x\r\n%s\n\r\n", len(data)+1, data)
		} else if part, ok := strings.CutSuffix(line, `\`); ok {
			out.WriteString(part)
		} else {
			out.WriteString(line + "\r\n")
		}
	}
	return out.Bytes()
}
