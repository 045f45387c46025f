package fulmartoml

import (
	"bytes"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
	"github.com/pkg/errors"
)

// Fault is one error in a TOML text.
type Fault struct {
	Line    int    `json:"line"` // from 1; zero if the fault has no place in the text
	Field   string `json:"field"`
	Problem string `json:"problem"`
}

// String returns the fault in one line.
func (f Fault) String() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", f.Line)
	}
	if f.Field != "" {
		b.WriteString(f.Field + ": ")
	}
	return b.String() + f.Problem
}

// Span is a range of bytes of a text.
type Span struct{ Start, End int }

// Bounds of the report of unknown keys.
const (
	maxUnknown = 100
	maxField   = 200 // bytes
)

const unknown = "unknown key"

// Key is the place of a key and its value.
type KeyPosition struct {
	Line      int
	ValueSpan Span // empty for tables and values whose place is unknown
}

// Reader converts the leaves of a decoded text and collects faults.
type Reader struct {
	keys   map[string]KeyPosition
	faults []Fault
	tables map[int]bool    // lines in which a table starts
	known  map[string]bool // paths of the struct, true for leaves
	broken bool
}

// New decodes text strictly into dst, a pointer to a struct whose leaves have the type any.
// Keys match exactly, in upper and lower case too.
func New(text []byte, dst any) *Reader {
	r := &Reader{keys: map[string]KeyPosition{}, tables: map[int]bool{}, known: map[string]bool{}}
	r.learn("", reflect.TypeOf(dst).Elem())
	r.index(text)
	dec := toml.NewDecoder(bytes.NewReader(text))
	if len(r.faults) == 0 {
		// The library reports unknown keys in a time that is quadratic in their number, so it is
		// asked only to confirm that there are none.
		dec.DisallowUnknownFields()
	}
	err := dec.Decode(dst)
	var strict *toml.StrictMissingError
	var one *toml.DecodeError
	switch {
	case err == nil:
	case errors.As(err, &strict):
		row, _ := strict.Errors[0].Position()
		r.faults = append(r.faults, Fault{row, strings.Join(strict.Errors[0].Key(), "."), unknown})
	case errors.As(err, &one):
		row, _ := one.Position()
		r.faults = append(r.faults, Fault{row, r.fieldAt(row, one.Key()), strings.TrimPrefix(one.Error(), "toml: ")})
		r.broken = true
	default:
		r.broken = true
		r.faults = append(r.faults, Fault{0, "", strings.TrimPrefix(err.Error(), "toml: ")})
	}
	return r
}

// learn records the paths that a struct has, without the numbers of array tables.
func (r *Reader) learn(prefix string, t reflect.Type) {
	for i := range t.NumField() {
		f := t.Field(i)
		if f.Anonymous {
			r.learn(prefix, f.Type)
			continue
		}
		path := prefix + f.Tag.Get("toml")
		inner := f.Type
		if inner.Kind() == reflect.Slice {
			inner = inner.Elem()
		}
		r.known[path] = inner.Kind() != reflect.Struct
		if inner.Kind() == reflect.Struct {
			r.learn(path+".", inner)
		}
	}
}

// index records the place of each key and the unknown keys; it stops at the first syntax error.
func (r *Reader) index(text []byte) {
	p := unstable.Parser{}
	p.Reset(text)
	x := indexer{Reader: r, text: text, lines: 1, counts: map[string]int{}}
	table, plain, skip := "", "", false
	for p.NextExpression() {
		e := p.Expression()
		if e.Kind == unstable.KeyValue {
			if !skip {
				x.keyValue(e, table, plain)
			}
			continue
		}
		path, at := keyPath(e)
		table, plain = path+".", path+"."
		if e.Kind == unstable.ArrayTable {
			table = fmt.Sprintf("%s[%d].", path, x.counts[path])
			x.counts[path]++
		}
		field := strings.TrimSuffix(table, ".")
		r.keys[field] = KeyPosition{Line: x.line(at)}
		r.tables[x.lines] = true
		skip = !x.check(field, path)
	}
}

// indexer is the state of one pass over a text.
type indexer struct {
	*Reader
	text   []byte
	seen   int // bytes in which line ends are counted; keys come in order, so each byte is counted once
	lines  int
	counts map[string]int // array tables by path
}

func (x *indexer) line(offset int) int {
	if offset > x.seen {
		x.lines += bytes.Count(x.text[x.seen:offset], []byte("\n"))
		x.seen = offset
	}
	return x.lines
}

// check records an unknown key; it reports whether the key is known.
func (x *indexer) check(field, path string) bool {
	if _, ok := x.known[path]; ok {
		return true
	}
	if len(x.faults) < maxUnknown {
		x.faults = append(x.faults, Fault{x.lines, field[:min(len(field), maxField)], unknown})
	}
	return false
}

// keyValue records a key and those of the tables in its value. table is the field of the table around
// it and plain the same without numbers, each with a final point unless empty.
func (x *indexer) keyValue(e *unstable.Node, table, plain string) {
	path, at := keyPath(e)
	field, path := table+path, plain+path
	k := KeyPosition{Line: x.line(at)}
	value := e.Value()
	if raw := value.Raw; raw.Length > 0 && value.Kind != unstable.InlineTable && value.Kind != unstable.Array {
		k.ValueSpan = Span{int(raw.Offset), int(raw.Offset + raw.Length)}
	}
	x.keys[field] = k
	// A leaf of a wrong kind, such as a table, is a fault of its conversion.
	if leaf := x.leafAround(path); leaf != "" {
		if strings.HasPrefix(leaf, plain) {
			x.keys[table+leaf[len(plain):]] = KeyPosition{Line: x.lines}
		}
		return
	}
	if !x.known[path] && x.check(field, path) {
		x.inline(value, field, path)
	}
}

// maxPath is longer than the path of any leaf.
const maxPath = 64

// leafAround returns the leaf within which a path names a key, or nothing.
func (x *indexer) leafAround(path string) string {
	for i := range path[:min(len(path), maxPath)] {
		if path[i] == '.' && x.known[path[:i]] {
			return path[:i]
		}
	}
	return ""
}

// inline records the keys of tables that are written in a value.
func (x *indexer) inline(value *unstable.Node, field, path string) {
	it := value.Children()
	for i := 0; it.Next(); i++ {
		switch child := it.Node(); {
		case value.Kind == unstable.InlineTable && child.Kind == unstable.KeyValue:
			x.keyValue(child, field+".", path+".")
		case value.Kind == unstable.Array && child.Kind == unstable.InlineTable:
			x.inline(child, fmt.Sprintf("%s[%d]", field, i), path)
		}
	}
}

func keyPath(e *unstable.Node) (path string, offset int) {
	var parts []string
	it := e.Key()
	for it.Next() {
		if len(parts) == 0 {
			offset = int(it.Node().Raw.Offset)
		}
		parts = append(parts, string(it.Node().Data))
	}
	return strings.Join(parts, "."), offset
}

// fieldAt returns the field that starts in a line and ends with the name, or else the name;
// unlike the name, the field has the numbers of array tables.
func (r *Reader) fieldAt(line int, name toml.Key) string {
	for field, k := range r.keys {
		if k.Line == line && len(name) > 0 && strings.HasSuffix("."+field, "."+name[len(name)-1]) {
			return field
		}
	}
	return strings.Join(name, ".")
}

// Broken reports whether the text could not be decoded as a whole, so that absent leaves say nothing.
func (r *Reader) DecodeFailed() bool { return r.broken }

// Key returns the place of a field.
func (r *Reader) Position(field string) (KeyPosition, bool) {
	k, ok := r.keys[field]
	return k, ok
}

// TableAt reports whether the header of a table starts in a line.
func (r *Reader) TableStartsAt(line int) bool { return r.tables[line] }

// Line returns the line of a field, or of the closest table around it.
func (r *Reader) Line(field string) int {
	for field != "" {
		if k, ok := r.keys[field]; ok {
			return k.Line
		}
		field = field[:max(0, strings.LastIndexByte(field, '.'))]
	}
	return 0
}

// Faults returns the faults so far in order of line.
func (r *Reader) Faults() []Fault {
	slices.SortStableFunc(r.faults, func(a, b Fault) int { return a.Line - b.Line })
	return r.faults
}

// Fault records a fault of a field.
func (r *Reader) AddFault(field, format string, args ...any) {
	r.faults = append(r.faults, Fault{r.Line(field), field, fmt.Sprintf(format, args...)})
}

// String returns a leaf as a string; an absent leaf gives absent and records nothing.
func (r *Reader) String(field string, leaf any, absent string) string {
	if leaf == nil {
		return absent
	}
	s, ok := leaf.(string)
	if !ok {
		r.AddFault(field, "must be a string, not %s", kind(leaf))
		return absent
	}
	return s
}

// Bool returns a leaf as a truth value.
func (r *Reader) Bool(field string, leaf any, absent bool) bool {
	if leaf == nil {
		return absent
	}
	b, ok := leaf.(bool)
	if !ok {
		r.AddFault(field, "must be true or false, not %s", kind(leaf))
		return absent
	}
	return b
}

// Int returns a leaf as an integer from low to high.
func (r *Reader) Int(field string, leaf any, absent, low, high int64) int64 {
	if leaf == nil {
		return absent
	}
	n, ok := leaf.(int64)
	if !ok {
		r.AddFault(field, "must be an integer, not %s", kind(leaf))
		return absent
	}
	if n < low || n > high {
		r.AddFault(field, "%d is out of bounds: must be from %d to %d", n, low, high)
		return absent
	}
	return n
}

// Float returns a leaf as a number over zero and at most high; integers are accepted.
func (r *Reader) Float(field string, leaf any, absent, high float64) float64 {
	if leaf == nil {
		return absent
	}
	var f float64
	switch v := leaf.(type) {
	case float64:
		f = v
	case int64:
		f = float64(v)
	default:
		r.AddFault(field, "must be a number, not %s", kind(leaf))
		return absent
	}
	if !(f > 0 && f <= high) || math.IsNaN(f) {
		r.AddFault(field, "%v is out of bounds: must be greater than 0 and at most %v", f, high)
		return absent
	}
	return f
}

// Duration returns a leaf as a duration from low to high; it must be a string with a unit.
func (r *Reader) Duration(field string, leaf any, absent, low, high time.Duration) time.Duration {
	if leaf == nil {
		return absent
	}
	s, ok := leaf.(string)
	if !ok {
		r.AddFault(field, "must be a duration with a unit such as \"150ms\", not %s", kind(leaf))
		return absent
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		r.AddFault(field, "%q is not a duration with a unit such as \"150ms\"", s)
		return absent
	}
	if d < low || d > high {
		r.AddFault(field, "%v is out of bounds: must be from %v to %v", d, low, high)
		return absent
	}
	return d
}

// units are the multiples that Size accepts.
var units = []struct {
	name  string
	bytes int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"B", 1}}

// Size returns a leaf as a number of bytes from low to high; it must be a string with a unit.
func (r *Reader) Size(field string, leaf any, absent, low, high int64) int64 {
	if leaf == nil {
		return absent
	}
	s, ok := leaf.(string)
	if !ok {
		r.AddFault(field, "must be a size with a unit such as \"64KiB\", not %s", kind(leaf))
		return absent
	}
	for _, u := range units {
		digits, ok := strings.CutSuffix(s, u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || digits[0] == '+' {
			break
		}
		if n > high/u.bytes || n*u.bytes < low {
			r.AddFault(field, "%s is out of bounds: must be from %s to %s", s, FormatSize(low), FormatSize(high))
			return absent
		}
		return n * u.bytes
	}
	r.AddFault(field, "%q is not a size with the unit B, KiB or MiB", s)
	return absent
}

// FormatSize returns n in the largest unit that divides it.
func FormatSize(n int64) string {
	switch {
	case n != 0 && n%(1<<20) == 0:
		return strconv.FormatInt(n>>20, 10) + "MiB"
	case n != 0 && n%(1<<10) == 0:
		return strconv.FormatInt(n>>10, 10) + "KiB"
	}
	return strconv.FormatInt(n, 10) + "B"
}

func kind(leaf any) string {
	switch leaf.(type) {
	case string:
		return "a string"
	case bool:
		return "a truth value"
	case int64:
		return "an integer"
	case float64:
		return "a number"
	case []any:
		return "an array"
	case map[string]any:
		return "a table"
	}
	return "a date or time"
}
