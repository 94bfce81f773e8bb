package settings

import (
	"errors"
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// Range is a range of plain numbers, written as one number or two.
type Range struct{ Lo, Hi float64 }

// DurationRange is a range of durations, written as one duration or two.
type DurationRange struct{ Lo, Hi time.Duration }

// Size is a number of bytes, written plain or with KiB, MiB or GiB.
type Size int64

// Defaulter sets the default values of a struct; Decode calls it before it reads the fields.
type Defaulter interface{ SetDefaults() }

// Checker validates values that depend on each other; Decode calls it after reading a list. An *Error is returned as
// it is, any other error gets the list's position.
type Checker interface{ Check() error }

// Decode fills the struct that into points to from a list, whose head names what it describes. Field tags map fields to
// the list's items:
//
//	Rate  float64   `sexp:"rate,required" min:"0"`  (rate 14)
//	Name  string    `sexp:",arg"`                   the next plain word after the head
//	Kind  string    `sexp:",head"`                  the head itself
//	Kinds []Kind    `sexp:"host-kind"`              each (host-kind …), in order
//	Steps []Step    `sexp:"constant|ramp"`          each (constant …) or (ramp …), in order
//	Where Pos       `sexp:",pos"`                   the position of the list
//
// min and max bound numbers (durations in seconds); one-of lists the allowed words of a string. A key that is unknown,
// missing, repeated or of the wrong type is an *Error with its position and path.
func Decode(n *Node, into any) error {
	v := reflect.ValueOf(into).Elem()
	if n.Kind != List || n.Head() == "" {
		return &Error{n.Pos, "", "want a list that begins with a word"}
	}
	return decodeStruct(n, v, n.Head())
}

// DecodeFile reads a file that must hold exactly one list with the given head. A fault in the text is an *Error.
func DecodeFile(path, head string, into any) error {
	nodes, err := ReadFile(path)
	if err != nil {
		return err
	}
	return decodeSingle(path, nodes, head, into)
}

// DecodeText decodes a text like DecodeFile; name stands for the file in errors.
func DecodeText(name string, text []byte, head string, into any) error {
	nodes, err := Parse(name, text)
	if err != nil {
		return err
	}
	return decodeSingle(name, nodes, head, into)
}

func decodeSingle(name string, nodes []*Node, head string, into any) error {
	if len(nodes) == 0 {
		return &Error{Pos{name, 1, 1}, "", fmt.Sprintf("want one list (%s …)", head)}
	}
	if nodes[0].Head() != head {
		return &Error{nodes[0].Pos, "", fmt.Sprintf("want a list (%s …)", head)}
	}
	if len(nodes) > 1 {
		return &Error{nodes[1].Pos, "", fmt.Sprintf("want no more than one list (%s …)", head)}
	}
	return Decode(nodes[0], into)
}

// structField is a field of a struct with its tag.
type structField struct {
	value    reflect.Value
	tag      reflect.StructTag
	names    []string
	required bool
	seen     bool
	many     bool
}

func decodeStruct(n *Node, v reflect.Value, path string) error {
	if d, ok := v.Addr().Interface().(Defaulter); ok {
		d.SetDefaults()
	}
	var args []*structField
	keys := map[string]*structField{}
	var ordered []*structField
	for i := range v.NumField() {
		sf := v.Type().Field(i)
		tag, ok := sf.Tag.Lookup("sexp")
		if !ok {
			continue
		}
		name, options, _ := strings.Cut(tag, ",")
		f := &structField{value: v.Field(i), tag: sf.Tag, required: strings.Contains(options, "required")}
		switch {
		case strings.Contains(options, "head"):
			f.value.SetString(n.Head())
		case strings.Contains(options, "pos"):
			f.value.Set(reflect.ValueOf(n.Pos))
		case strings.Contains(options, "arg"):
			f.names = []string{sf.Name}
			args = append(args, f)
		default:
			f.names = strings.Split(name, "|")
			f.many = sf.Type.Kind() == reflect.Slice && sf.Type.Elem().Kind() == reflect.Struct && !isScalar(sf.Type.Elem())
			for _, k := range f.names {
				keys[k] = f
			}
			ordered = append(ordered, f)
		}
	}
	for _, item := range n.Items[1:] {
		if item.Kind != List {
			if len(args) == 0 {
				return &Error{item.Pos, path, fmt.Sprintf("unexpected plain value %q", item.Text)}
			}
			if err := decodeScalar(item, args[0].value, args[0].tag, path); err != nil {
				return err
			}
			args = args[1:]
			continue
		}
		head := item.Head()
		f := keys[head]
		if f == nil {
			return &Error{item.Pos, path + "." + head, "unknown key; known keys: " + joinNames(ordered)}
		}
		if f.seen && !f.many {
			return &Error{item.Pos, path + "." + head, "given twice"}
		}
		f.seen = true
		if err := decodeField(item, f, path+"."+head); err != nil {
			return err
		}
	}
	if len(args) > 0 && args[0].required {
		return &Error{n.Pos, path, "want a " + strings.ToLower(args[0].names[0]) + " after the first word"}
	}
	for _, f := range ordered {
		if f.required && !f.seen {
			return &Error{n.Pos, path + "." + f.names[0], "missing"}
		}
	}
	if c, ok := v.Addr().Interface().(Checker); ok {
		var positioned *Error
		if err := c.Check(); errors.As(err, &positioned) {
			return positioned // its position is more precise than that of the list
		} else if err != nil {
			return &Error{n.Pos, path, err.Error()}
		}
	}
	return nil
}

func joinNames(fields []*structField) string {
	var names []string
	for _, f := range fields {
		names = append(names, f.names...)
	}
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}

func decodeField(n *Node, f *structField, path string) error {
	t := f.value.Type()
	switch {
	case f.many:
		e := reflect.New(t.Elem()).Elem()
		if err := decodeStruct(n, e, path); err != nil {
			return err
		}
		f.value.Set(reflect.Append(f.value, e))
		return nil
	case t.Kind() == reflect.Pointer:
		e := reflect.New(t.Elem())
		f.value.Set(e)
		return decodeStruct(n, e.Elem(), path)
	case t.Kind() == reflect.Struct && !isScalar(t):
		return decodeStruct(n, f.value, path)
	case t.Kind() == reflect.Slice:
		out := reflect.MakeSlice(t, 0, len(n.Items)-1)
		for _, item := range n.Items[1:] {
			e := reflect.New(t.Elem()).Elem()
			if err := decodeScalar(item, e, f.tag, path); err != nil {
				return err
			}
			out = reflect.Append(out, e)
		}
		f.value.Set(out)
		return nil
	case t == rangeType || t == spanType:
		return decodeSpan(n, f.value, f.tag, path)
	case t.Kind() == reflect.Bool && len(n.Items) == 1:
		f.value.SetBool(true) // the key alone means yes
		return nil
	}
	if len(n.Items) != 2 {
		return &Error{n.Pos, path, fmt.Sprintf("want one value, have %d", len(n.Items)-1)}
	}
	return decodeScalar(n.Items[1], f.value, f.tag, path)
}

var (
	rangeType    = reflect.TypeFor[Range]()
	spanType     = reflect.TypeFor[DurationRange]()
	durationType = reflect.TypeFor[time.Duration]()
	sizeType     = reflect.TypeFor[Size]()
)

func isScalar(t reflect.Type) bool { return t == rangeType || t == spanType }

// decodeSpan decodes a Range or DurationRange from one value or two.
func decodeSpan(n *Node, v reflect.Value, tag reflect.StructTag, path string) error {
	if len(n.Items) != 2 && len(n.Items) != 3 {
		return &Error{n.Pos, path, fmt.Sprintf("want one value or two, have %d", len(n.Items)-1)}
	}
	for i := range 2 {
		if err := decodeScalar(n.Items[min(i+1, len(n.Items)-1)], v.Field(i), tag, path); err != nil {
			return err
		}
	}
	lo, hi := v.Field(0), v.Field(1)
	if lo.CanFloat() && lo.Float() > hi.Float() || lo.CanInt() && lo.Int() > hi.Int() {
		return &Error{n.Pos, path, "the first value is above the second"}
	}
	return nil
}

func decodeScalar(n *Node, v reflect.Value, tag reflect.StructTag, path string) error {
	wrong := func(want string) error {
		have := strconv.Quote(n.Text)
		if n.Kind == List {
			have = "a list"
		}
		return &Error{n.Pos, path, fmt.Sprintf("want %s, have %s", want, have)}
	}
	if n.Kind == List {
		return wrong("a plain value")
	}
	if n.Kind == String && v.Kind() != reflect.String {
		return wrong("a value without quotes")
	}
	number := math.NaN()
	switch {
	case v.Type() == durationType:
		d, err := time.ParseDuration(n.Text)
		if err != nil {
			return wrong("a duration such as 750ms")
		}
		v.SetInt(int64(d))
		number = d.Seconds()
	case v.Type() == sizeType:
		s, ok := parseSize(n.Text)
		if !ok {
			return wrong("a size such as 64KiB")
		}
		v.SetInt(int64(s))
		number = float64(s)
	case v.Kind() == reflect.String:
		v.SetString(n.Text)
		if words := tag.Get("one-of"); words != "" {
			for _, w := range strings.Split(words, "|") {
				if w == n.Text {
					return nil
				}
			}
			return wrong("one of " + strings.ReplaceAll(words, "|", ", "))
		}
		return nil
	case v.Kind() == reflect.Bool:
		switch n.Text {
		case "yes", "true":
			v.SetBool(true)
		case "no", "false":
			v.SetBool(false)
		default:
			return wrong("yes or no")
		}
		return nil
	case v.CanInt():
		i, err := strconv.ParseInt(n.Text, 10, v.Type().Bits())
		if err != nil {
			return wrong("a whole number")
		}
		v.SetInt(i)
		number = float64(i)
	case v.CanUint():
		u, err := strconv.ParseUint(n.Text, 10, v.Type().Bits())
		if err != nil {
			return wrong("a whole number from 0")
		}
		v.SetUint(u)
		number = float64(u)
	case v.CanFloat():
		f, err := parseNumber(n.Text)
		if err != nil {
			return wrong("a number")
		}
		v.SetFloat(f)
		number = f
	default:
		panic("settings: unsupported field type " + v.Type().String())
	}
	if low, err := strconv.ParseFloat(tag.Get("min"), 64); err == nil && number < low {
		return wrong("at least " + tag.Get("min") + unit(v))
	}
	if high, err := strconv.ParseFloat(tag.Get("max"), 64); err == nil && number > high {
		return wrong("at most " + tag.Get("max") + unit(v))
	}
	return nil
}

func unit(v reflect.Value) string {
	if v.Type() == durationType {
		return " s"
	}
	return ""
}

// parseNumber parses decimal numbers, including percentages; infinities and NaN are refused.
func parseNumber(text string) (float64, error) {
	plain, percent := strings.CutSuffix(text, "%")
	if strings.Trim(plain, "0123456789.-+eE") != "" {
		return 0, strconv.ErrSyntax
	}
	f, err := strconv.ParseFloat(plain, 64)
	if percent {
		f /= 100
	}
	return f, err
}

func parseSize(text string) (Size, bool) {
	shift := 0
	for i, suffix := range []string{"KiB", "MiB", "GiB"} {
		if t, ok := strings.CutSuffix(text, suffix); ok {
			text, shift = t, 10*(i+1)
		}
	}
	v, err := strconv.ParseInt(text, 10, 64)
	if err != nil || v < 0 || v > math.MaxInt64>>shift {
		return 0, false
	}
	return Size(v << shift), true
}
