// Package exchange reads recorded byte exchanges from text files, for the tests that play them.
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

// Load reads a txtar file.
func Load(t testing.TB, path string) *txtar.Archive {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return txtar.Parse(text)
}

var repeated = regexp.MustCompile(`\{(\d+)\*(.)\}`)

// Bytes gives the bytes that a section stands for. A line ends in CR LF, or in nothing where it ends in a
// backslash; a line after "+" is sent as one chunk with its LF; {N*c} is N times c.
func Bytes(section []byte) []byte {
	var out bytes.Buffer
	for line := range strings.Lines(string(section)) {
		line = strings.TrimSuffix(line, "\n")
		line = repeated.ReplaceAllStringFunc(line, func(s string) string {
			m := repeated.FindStringSubmatch(s)
			n, _ := strconv.Atoi(m[1])
			return strings.Repeat(m[2], n)
		})
		if data, ok := strings.CutPrefix(line, "+"); ok {
			data = strings.TrimPrefix(data, " ")
			fmt.Fprintf(&out, "%x\r\n%s\n\r\n", len(data)+1, data)
		} else if part, ok := strings.CutSuffix(line, `\`); ok {
			out.WriteString(part)
		} else {
			out.WriteString(line + "\r\n")
		}
	}
	return out.Bytes()
}
