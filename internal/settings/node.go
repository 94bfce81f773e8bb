// Package settings reads the product's own settings: S-expressions, decoded into Go types. A reader of its own
// keeps the place of each word, so that an error names file, line, column and the key's path; EDN libraries give
// values without places.
package settings

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Bounds of a text, so that no file can exhaust the stack or the memory.
const (
	maxText  = 4 << 20 // bytes
	maxDepth = 64      // lists within lists
)

// Pos is a place in a text; lines and columns (in characters) count from 1.
type Pos struct {
	File      string
	Line, Col int
}

func (p Pos) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Col) }

// Kind says what a node is.
type Kind uint8

// The kinds of nodes.
const (
	Word   Kind = iota // a symbol, number, duration, size: anything without quotes
	String             // a text in quotes
	List
)

// Node is an expression with its place.
type Node struct {
	Pos
	Kind     Kind
	Text     string   // of a Word or String, unquoted
	Items    []*Node  // of a List
	Comments []string // lines that stand before it, each without its semicolons
	Tail     []string // comments before a List's closing parenthesis
}

// Head is the first word of a list, or nothing.
func (n *Node) Head() string {
	if n.Kind == List && len(n.Items) > 0 && n.Items[0].Kind == Word {
		return n.Items[0].Text
	}
	return ""
}

// Error is a fault in settings.
type Error struct {
	Pos
	Path string // keys from the outermost in, joined by dots; empty where the text itself is malformed
	Why  string
}

func (e *Error) Error() string {
	if e.Path == "" {
		return fmt.Sprintf("%s: %s", e.Pos, e.Why)
	}
	return fmt.Sprintf("%s: %s: %s", e.Pos, e.Path, e.Why)
}

// ReadFile parses a file.
func ReadFile(path string) ([]*Node, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse reads all expressions of a text. An error is an *Error.
func Parse(file string, text []byte) ([]*Node, error) {
	p := &parser{text: text, pos: Pos{file, 1, 1}}
	if len(text) > maxText {
		return nil, &Error{p.pos, "", fmt.Sprintf("text is over %d bytes", maxText)}
	}
	if !utf8.Valid(text) {
		return nil, &Error{p.pos, "", "text is not UTF-8"}
	}
	nodes, _, err := p.list(nil, 0)
	if err != nil {
		return nil, err
	}
	return nodes, nil
}

type parser struct {
	text []byte
	at   int
	pos  Pos
}

// next takes one character; -1 is the end.
func (p *parser) next() rune {
	if p.at >= len(p.text) {
		return -1
	}
	r, n := utf8.DecodeRune(p.text[p.at:])
	p.at += n
	if p.pos.Col++; r == '\n' {
		p.pos.Line++
		p.pos.Col = 1
	}
	return r
}

func (p *parser) peek() rune {
	if p.at >= len(p.text) {
		return -1
	}
	r, _ := utf8.DecodeRune(p.text[p.at:])
	return r
}

// list reads up to a closing parenthesis, or to the end of the text where open is nil.
func (p *parser) list(open *Node, depth int) (items []*Node, tail []string, err error) {
	var comments []string
	for {
		at := p.pos
		switch r := p.peek(); {
		case r < 0 && open != nil:
			return nil, nil, &Error{open.Pos, "", "parenthesis is never closed"}
		case r < 0:
			return items, comments, nil
		case unicode.IsSpace(r):
			p.next()
		case r == ';':
			comments = append(comments, p.comment())
		case r == ')' && open == nil:
			return nil, nil, &Error{at, "", "parenthesis closes nothing"}
		case r == ')':
			p.next()
			return items, comments, nil
		case r == '(':
			if depth >= maxDepth {
				return nil, nil, &Error{at, "", fmt.Sprintf("lists nest deeper than %d", maxDepth)}
			}
			p.next()
			n := &Node{Pos: at, Kind: List, Comments: comments}
			if n.Items, n.Tail, err = p.list(n, depth+1); err != nil {
				return nil, nil, err
			}
			items, comments = append(items, n), nil
		default:
			n, err := p.atom()
			if err != nil {
				return nil, nil, err
			}
			n.Comments = comments
			items, comments = append(items, n), nil
		}
	}
}

func (p *parser) comment() string {
	start := p.at
	for r := p.peek(); r >= 0 && r != '\n'; r = p.peek() {
		p.next()
	}
	return strings.TrimSpace(strings.TrimLeft(string(p.text[start:p.at]), ";"))
}

func (p *parser) atom() (*Node, error) {
	n := &Node{Pos: p.pos}
	start := p.at
	if p.peek() != '"' {
		for r := p.peek(); r >= 0 && !unicode.IsSpace(r) && !strings.ContainsRune(`()";`, r); r = p.peek() {
			if !unicode.IsPrint(r) {
				return nil, &Error{p.pos, "", fmt.Sprintf("character %q can't stand in a word", r)}
			}
			p.next()
		}
		n.Text = string(p.text[start:p.at])
		return n, nil
	}
	p.next()
	for {
		switch p.next() {
		case -1, '\n':
			return nil, &Error{n.Pos, "", "quoted text is not closed on its line"}
		case '\\':
			p.next()
		case '"':
			text, err := strconv.Unquote(string(p.text[start:p.at]))
			if err != nil {
				return nil, &Error{n.Pos, "", "quoted text has an unknown escape"}
			}
			n.Kind, n.Text = String, text
			return n, nil
		}
	}
}

// lineWidth is what a list may take to stand on one line.
const lineWidth = 100

// Format writes expressions in the one form that all of them have: parsing it gives them again, comments included.
func Format(nodes []*Node) string {
	var b strings.Builder
	for _, n := range nodes {
		writeNode(&b, n, 0)
		b.WriteByte('\n')
	}
	return b.String()
}

func writeNode(b *strings.Builder, n *Node, indent int) {
	pad := strings.Repeat("  ", indent)
	writeComments(b, n.Comments, pad)
	b.WriteString(pad)
	if flat, ok := flatten(n); ok && len(pad)+len(flat) <= lineWidth {
		b.WriteString(flat)
		return
	}
	if n.Kind != List {
		b.WriteString(atomText(n))
		return
	}
	// Words stay beside the opening parenthesis up to the first list, which gets a line of its own like all after it.
	b.WriteByte('(')
	i := 0
	for ; i < len(n.Items) && n.Items[i].Kind != List && len(n.Items[i].Comments) == 0; i++ {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(atomText(n.Items[i]))
	}
	for _, item := range n.Items[i:] {
		b.WriteByte('\n')
		writeNode(b, item, indent+1)
	}
	if len(n.Tail) > 0 {
		b.WriteByte('\n')
		writeComments(b, n.Tail, pad+"  ")
		b.WriteString(pad)
	}
	b.WriteByte(')')
}

func writeComments(b *strings.Builder, lines []string, pad string) {
	for _, c := range lines {
		b.WriteString(strings.TrimRight(pad+"; "+c, " "))
		b.WriteByte('\n')
	}
}

// flatten writes a node on one line; false if comments forbid it.
func flatten(n *Node) (string, bool) {
	if n.Kind != List {
		return atomText(n), true
	}
	if len(n.Tail) > 0 {
		return "", false
	}
	parts := make([]string, len(n.Items))
	for i, item := range n.Items {
		text, ok := flatten(item)
		if !ok || len(item.Comments) > 0 {
			return "", false
		}
		parts[i] = text
	}
	return "(" + strings.Join(parts, " ") + ")", true
}

func atomText(n *Node) string {
	if n.Kind == String {
		return strconv.Quote(n.Text)
	}
	return n.Text
}
