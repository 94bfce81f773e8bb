// Package settings reads the product's own settings (the platform's configuration is read by wire/platform):
// S-expressions, decoded into Go types. Parse and ReadFile give the expressions of a text as Nodes, Decode, DecodeText
// and DecodeFile fill a struct by its field tags, and Format writes expressions in a canonical form. It has its own
// reader, which keeps the position of each word, so that an error names file, line, column and the path of the key; EDN
// libraries give values without positions.
package settings

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Bounds on a text, so that no file can exhaust the stack or the memory.
const (
	maxText  = 4 << 20 // bytes
	maxDepth = 64      // nesting of lists
)

// Pos is a position in a text; lines and columns (in characters) count from 1.
type Pos struct {
	File      string
	Line, Col int
}

func (p Pos) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Col) }

// Kind is the type of a node.
type Kind uint8

// The types of nodes.
const (
	Word   Kind = iota // a symbol, number, duration or size: any word without quotes
	String             // a quoted text
	List
)

// Node is an expression with its position.
type Node struct {
	Pos
	Kind     Kind
	Text     string   // of a Word or String, unquoted
	Items    []*Node  // of a List
	Comments []string // comment lines before it, without their semicolons
	Tail     []string // comments before a List's closing parenthesis
}

// Head returns the first word of a list, or an empty string.
func (n *Node) Head() string {
	if n.Kind == List && len(n.Items) > 0 && n.Items[0].Kind == Word {
		return n.Items[0].Text
	}
	return ""
}

// Error is a fault in settings, with its position.
type Error struct {
	Pos
	Path   string // keys from the outermost to the innermost, joined by dots; empty if the text itself is malformed
	Reason string
}

func (e *Error) Error() string {
	if e.Path == "" {
		return fmt.Sprintf("%s: %s", e.Pos, e.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", e.Pos, e.Path, e.Reason)
}

// ReadFile parses a file. Malformed text is an *Error.
func ReadFile(path string) ([]*Node, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse returns all expressions of a text. Any error is an *Error.
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
	text   []byte
	offset int
	pos    Pos
}

// next consumes one character; it returns -1 at the end.
func (p *parser) next() rune {
	if p.offset >= len(p.text) {
		return -1
	}
	r, n := utf8.DecodeRune(p.text[p.offset:])
	p.offset += n
	if p.pos.Col++; r == '\n' {
		p.pos.Line++
		p.pos.Col = 1
	}
	return r
}

func (p *parser) peek() rune {
	if p.offset >= len(p.text) {
		return -1
	}
	r, _ := utf8.DecodeRune(p.text[p.offset:])
	return r
}

// list reads to the closing parenthesis, or to the end of the text if open is nil.
func (p *parser) list(open *Node, depth int) (items []*Node, tail []string, err error) {
	var comments []string
	for {
		at := p.pos
		switch r := p.peek(); {
		case r < 0 && open != nil:
			return nil, nil, &Error{open.Pos, "", "parenthesis is not closed"}
		case r < 0:
			return items, comments, nil
		case unicode.IsSpace(r):
			p.next()
		case r == ';':
			comments = append(comments, p.comment())
		case r == ')' && open == nil:
			return nil, nil, &Error{at, "", "closing parenthesis without an opening one"}
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
	start := p.offset
	for r := p.peek(); r >= 0 && r != '\n'; r = p.peek() {
		p.next()
	}
	return strings.TrimSpace(strings.TrimLeft(string(p.text[start:p.offset]), ";"))
}

func (p *parser) atom() (*Node, error) {
	n := &Node{Pos: p.pos}
	start := p.offset
	if p.peek() != '"' {
		for r := p.peek(); r >= 0 && !unicode.IsSpace(r) && !strings.ContainsRune(`()";`, r); r = p.peek() {
			if !unicode.IsPrint(r) {
				return nil, &Error{p.pos, "", fmt.Sprintf("character %q is not allowed in a word", r)}
			}
			p.next()
		}
		n.Text = string(p.text[start:p.offset])
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
			text, err := strconv.Unquote(string(p.text[start:p.offset]))
			if err != nil {
				return nil, &Error{n.Pos, "", "quoted text has an unknown escape"}
			}
			n.Kind, n.Text = String, text
			return n, nil
		}
	}
}

// lineWidth is the width up to which a list is written on one line, in bytes.
const lineWidth = 100

// Format writes expressions in their canonical form. Parsing it gives the same expressions, comments included.
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
	// Leading words stay on the line of the opening parenthesis; the first list and every item after it get a line each.
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

// flatten writes a node on one line; false if it contains comments.
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
