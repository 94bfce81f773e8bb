package ordered

import (
	"slices"
	"testing"
)

func TestMap(t *testing.T) {
	m := map[string]int{"c": 3, "a": 1, "b": 2, "d": 4}
	var keys []string
	for key := range Map(m) {
		keys = append(keys, key)
		delete(m, "b")
		m["e"] = 5
		if key == "c" {
			break
		}
	}
	if want := []string{"a", "c"}; !slices.Equal(keys, want) {
		t.Errorf("visited %v, want %v", keys, want)
	}
}
