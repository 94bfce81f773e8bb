// Package pattern describes which parts of a gang exchange data in each step, and in which orders ranks are best
// assigned to hosts that are sorted by rack. Edges lists the pairs of a Pattern and Orders the orders worth
// trying.
package pattern

import "fmt"

// Pattern is the pattern in which the parts of a gang exchange data.
type Pattern uint8

// The patterns.
const (
	Ring Pattern = iota // each with the next, the last with the first
	Halo                // a grid in two dimensions, each with its neighbours
	All                 // each with every other
	Tree                // a binary tree: each with its parent and its children
)

var names = [...]string{"ring", "halo", "all", "tree"}

// Parse returns the pattern of a name, or an error that lists the names.
func Parse(name string) (Pattern, error) {
	for i, n := range names {
		if n == name {
			return Pattern(i), nil
		}
	}
	return 0, fmt.Errorf("no exchange %q; there are %v", name, names)
}

// String returns the name that Parse accepts.
func (p Pattern) String() string { return names[p] }

// Edge is a pair of ranks that exchange data. Share is the fraction of a part's bytes in a step that goes in each
// direction.
type Edge struct {
	A, B  int
	Share float64
}

// Grid returns the sides of a full grid of k parts, as even as possible, the longer side first.
func Grid(k int) (rows, columns int) {
	columns = 1
	for c := 1; c*c <= k; c++ {
		if k%c == 0 {
			columns = c
		}
	}
	return k / columns, columns
}

// Edges lists the pairs of k ranks that exchange data, each once. The bytes that a part sends in a step are shared
// evenly among the largest number of neighbours that a part can have, so a part at a border sends less.
func (p Pattern) Edges(k int) (out []Edge) {
	switch {
	case k < 2:
	case p == Ring && k == 2:
		out = append(out, Edge{0, 1, 1})
	case p == Ring:
		for i := range k {
			out = append(out, Edge{i, (i + 1) % k, 0.5})
		}
	case p == Halo:
		rows, columns := Grid(k)
		for i := range k {
			if i%columns+1 < columns {
				out = append(out, Edge{i, i + 1, 0.25})
			}
			if i/columns+1 < rows {
				out = append(out, Edge{i, i + columns, 0.25})
			}
		}
	case p == All:
		for i := range k {
			for j := i + 1; j < k; j++ {
				out = append(out, Edge{i, j, 1 / float64(k-1)})
			}
		}
	case p == Tree:
		for i := 1; i < k; i++ {
			out = append(out, Edge{(i - 1) / 2, i, 1.0 / 3})
		}
	}
	return out
}

// Orders lists orders of k ranks worth trying. Hosts are sorted by rack, so a rack gets a run of consecutive ranks of
// the order. The orders are such that few edges connect ranks of different runs, wherever the runs are cut. Which order
// is best depends on where the cuts are.
func (p Pattern) Orders(k int) [][]int {
	plain := make([]int, k)
	for i := range plain {
		plain[i] = i
	}
	out := [][]int{plain}
	switch p {
	case Halo:
		rows, columns := Grid(k)
		for wide := 2; wide < columns; wide++ {
			order := make([]int, 0, k)
			for from := 0; from < columns; from += wide {
				for r := range rows {
					for c := from; c < min(from+wide, columns); c++ {
						order = append(order, r*columns+c)
					}
				}
			}
			out = append(out, order)
		}
	case Tree:
		order := make([]int, 0, k)
		var walk func(i int)
		walk = func(i int) {
			if i < k {
				order = append(order, i)
				walk(2*i + 1)
				walk(2*i + 2)
			}
		}
		walk(0)
		out = append(out, order)
	}
	return out
}
