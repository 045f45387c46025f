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

// Fault is one error in a TOML document.
type Fault struct {
	Line    int    `json:"line"` // counted from 1; 0 if the fault has no position in the document
	Field   string `json:"field"`
	Problem string `json:"problem"`
}

// String formats the fault as one line: line number, field and problem.
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

// Span is a range of byte offsets in the document; End is exclusive.
type Span struct{ Start, End int }

// Limits on the reported unknown keys.
const (
	maxUnknownKeys = 100
	maxFieldLen    = 200 // bytes
)

const unknownKey = "unknown key"

// KeyPosition is where a key and its value stand in the document.
type KeyPosition struct {
	Line      int
	ValueSpan Span // empty for tables, arrays and values of unknown position
}

// Reader converts the leaves of a decoded document and collects the faults.
type Reader struct {
	keys         map[string]KeyPosition
	faults       []Fault
	tableLines   map[int]bool    // lines that hold a table header
	schema       map[string]bool // paths that the destination struct has; true for leaves
	decodeFailed bool
}

// New decodes text strictly into dst, a pointer to a struct whose leaves have the type any.
// Keys are case-sensitive.
func New(text []byte, dst any) *Reader {
	r := &Reader{keys: map[string]KeyPosition{}, tableLines: map[int]bool{}, schema: map[string]bool{}}
	r.addSchema("", reflect.TypeOf(dst).Elem())
	r.indexKeys(text)
	dec := toml.NewDecoder(bytes.NewReader(text))
	if len(r.faults) == 0 {
		// The library takes quadratic time to report unknown keys. indexKeys found none, so this
		// only confirms it.
		dec.DisallowUnknownFields()
	}
	err := dec.Decode(dst)
	var unknownKeysErr *toml.StrictMissingError
	var decodeErr *toml.DecodeError
	switch {
	case err == nil:
	case errors.As(err, &unknownKeysErr):
		line, _ := unknownKeysErr.Errors[0].Position()
		r.faults = append(r.faults, Fault{line, strings.Join(unknownKeysErr.Errors[0].Key(), "."), unknownKey})
	case errors.As(err, &decodeErr):
		line, _ := decodeErr.Position()
		r.faults = append(r.faults, Fault{line, r.fieldAt(line, decodeErr.Key()), strings.TrimPrefix(decodeErr.Error(), "toml: ")})
		r.decodeFailed = true
	default:
		r.decodeFailed = true
		r.faults = append(r.faults, Fault{0, "", strings.TrimPrefix(err.Error(), "toml: ")})
	}
	return r
}

// addSchema records the paths of the fields of t, without indices of array tables.
func (r *Reader) addSchema(prefix string, t reflect.Type) {
	for i := range t.NumField() {
		f := t.Field(i)
		if f.Anonymous {
			r.addSchema(prefix, f.Type)
			continue
		}
		path := prefix + f.Tag.Get("toml")
		inner := f.Type
		if inner.Kind() == reflect.Slice {
			inner = inner.Elem()
		}
		r.schema[path] = inner.Kind() != reflect.Struct
		if inner.Kind() == reflect.Struct {
			r.addSchema(path+".", inner)
		}
	}
}

// indexKeys records the position of each key and reports unknown keys; it stops at the first syntax error.
func (r *Reader) indexKeys(text []byte) {
	p := unstable.Parser{}
	p.Reset(text)
	x := indexer{Reader: r, text: text, currentLine: 1, arrayTableCounts: map[string]int{}}
	fieldPrefix, pathPrefix, skipTable := "", "", false
	for p.NextExpression() {
		e := p.Expression()
		if e.Kind == unstable.KeyValue {
			if !skipTable {
				x.indexKeyValue(e, fieldPrefix, pathPrefix)
			}
			continue
		}
		path, offset := keyPath(e)
		fieldPrefix, pathPrefix = path+".", path+"."
		if e.Kind == unstable.ArrayTable {
			fieldPrefix = fmt.Sprintf("%s[%d].", path, x.arrayTableCounts[path])
			x.arrayTableCounts[path]++
		}
		field := strings.TrimSuffix(fieldPrefix, ".")
		r.keys[field] = KeyPosition{Line: x.lineAt(offset)}
		r.tableLines[x.currentLine] = true
		skipTable = !x.checkKnown(field, path)
	}
}

// indexer is the state of one pass over a document.
type indexer struct {
	*Reader
	text             []byte
	scanned          int // bytes whose line ends are already counted; keys come in order, so each byte is counted once
	currentLine      int
	arrayTableCounts map[string]int // number of array tables seen so far, by path
}

func (x *indexer) lineAt(offset int) int {
	if offset > x.scanned {
		x.currentLine += bytes.Count(x.text[x.scanned:offset], []byte("\n"))
		x.scanned = offset
	}
	return x.currentLine
}

// checkKnown reports whether the schema has the path, and records a fault if not.
func (x *indexer) checkKnown(field, path string) bool {
	if _, ok := x.schema[path]; ok {
		return true
	}
	if len(x.faults) < maxUnknownKeys {
		x.faults = append(x.faults, Fault{x.currentLine, field[:min(len(field), maxFieldLen)], unknownKey})
	}
	return false
}

// indexKeyValue records a key and the keys of inline tables in its value. fieldPrefix is the field of
// the enclosing table, pathPrefix the same without indices; both end with a dot unless empty.
func (x *indexer) indexKeyValue(e *unstable.Node, fieldPrefix, pathPrefix string) {
	path, offset := keyPath(e)
	field, path := fieldPrefix+path, pathPrefix+path
	k := KeyPosition{Line: x.lineAt(offset)}
	value := e.Value()
	if raw := value.Raw; raw.Length > 0 && value.Kind != unstable.InlineTable && value.Kind != unstable.Array {
		k.ValueSpan = Span{int(raw.Offset), int(raw.Offset + raw.Length)}
	}
	x.keys[field] = k
	// A table where the schema has a leaf is reported when the leaf is converted, not as an unknown key.
	if leaf := x.enclosingLeaf(path); leaf != "" {
		if strings.HasPrefix(leaf, pathPrefix) {
			x.keys[fieldPrefix+leaf[len(pathPrefix):]] = KeyPosition{Line: x.currentLine}
		}
		return
	}
	if !x.schema[path] && x.checkKnown(field, path) {
		x.indexInlineTables(value, field, path)
	}
}

// maxPathLen exceeds the length in bytes of every leaf's path.
const maxPathLen = 64

// enclosingLeaf returns the leaf of the schema that is a proper prefix of path, or the empty string.
func (x *indexer) enclosingLeaf(path string) string {
	for i := range path[:min(len(path), maxPathLen)] {
		if path[i] == '.' && x.schema[path[:i]] {
			return path[:i]
		}
	}
	return ""
}

// indexInlineTables records the keys of the inline tables in a value, also of those in arrays.
func (x *indexer) indexInlineTables(value *unstable.Node, field, path string) {
	it := value.Children()
	for i := 0; it.Next(); i++ {
		switch child := it.Node(); {
		case value.Kind == unstable.InlineTable && child.Kind == unstable.KeyValue:
			x.indexKeyValue(child, field+".", path+".")
		case value.Kind == unstable.Array && child.Kind == unstable.InlineTable:
			x.indexInlineTables(child, fmt.Sprintf("%s[%d]", field, i), path)
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

// fieldAt returns the field that starts in a line and whose last part is that of name. The field has
// the indices of array tables, which name lacks. Without such a field it returns name.
func (r *Reader) fieldAt(line int, name toml.Key) string {
	for field, k := range r.keys {
		if k.Line == line && len(name) > 0 && strings.HasSuffix("."+field, "."+name[len(name)-1]) {
			return field
		}
	}
	return strings.Join(name, ".")
}

// DecodeFailed reports whether decoding stopped at an error. If so, missing leaves are no faults.
func (r *Reader) DecodeFailed() bool { return r.decodeFailed }

// Position returns the position of a field and whether the document has it.
func (r *Reader) Position(field string) (KeyPosition, bool) {
	k, ok := r.keys[field]
	return k, ok
}

// TableStartsAt reports whether a line holds a table header.
func (r *Reader) TableStartsAt(line int) bool { return r.tableLines[line] }

// Line returns the line of a field, or of the closest enclosing table that the document has, or 0.
func (r *Reader) Line(field string) int {
	for field != "" {
		if k, ok := r.keys[field]; ok {
			return k.Line
		}
		field = field[:max(0, strings.LastIndexByte(field, '.'))]
	}
	return 0
}

// Faults returns the faults recorded so far, ordered by line.
func (r *Reader) Faults() []Fault {
	slices.SortStableFunc(r.faults, func(a, b Fault) int { return a.Line - b.Line })
	return r.faults
}

// AddFault records a fault of a field.
func (r *Reader) AddFault(field, format string, args ...any) {
	r.faults = append(r.faults, Fault{r.Line(field), field, fmt.Sprintf(format, args...)})
}

// String converts a leaf to a string. Like the other conversions it returns the default value
// if the leaf is missing, and records a fault if the leaf has the wrong type or is out of bounds.
func (r *Reader) String(field string, leaf any, defaultValue string) string {
	if leaf == nil {
		return defaultValue
	}
	s, ok := leaf.(string)
	if !ok {
		r.AddFault(field, "must be a string, not %s", kindName(leaf))
		return defaultValue
	}
	return s
}

// Bool converts a leaf to a Boolean.
func (r *Reader) Bool(field string, leaf any, defaultValue bool) bool {
	if leaf == nil {
		return defaultValue
	}
	b, ok := leaf.(bool)
	if !ok {
		r.AddFault(field, "must be true or false, not %s", kindName(leaf))
		return defaultValue
	}
	return b
}

// Int converts a leaf to an integer from low to high.
func (r *Reader) Int(field string, leaf any, defaultValue, low, high int64) int64 {
	if leaf == nil {
		return defaultValue
	}
	n, ok := leaf.(int64)
	if !ok {
		r.AddFault(field, "must be an integer, not %s", kindName(leaf))
		return defaultValue
	}
	if n < low || n > high {
		r.AddFault(field, "%d is out of bounds: must be from %d to %d", n, low, high)
		return defaultValue
	}
	return n
}

// Float converts a leaf to a number greater than 0 and at most high; integers are accepted.
func (r *Reader) Float(field string, leaf any, defaultValue, high float64) float64 {
	if leaf == nil {
		return defaultValue
	}
	var f float64
	switch v := leaf.(type) {
	case float64:
		f = v
	case int64:
		f = float64(v)
	default:
		r.AddFault(field, "must be a number, not %s", kindName(leaf))
		return defaultValue
	}
	if !(f > 0 && f <= high) || math.IsNaN(f) {
		r.AddFault(field, "%v is out of bounds: must be greater than 0 and at most %v", f, high)
		return defaultValue
	}
	return f
}

// Duration converts a leaf to a duration from low to high; it must be a string with a unit.
func (r *Reader) Duration(field string, leaf any, defaultValue, low, high time.Duration) time.Duration {
	if leaf == nil {
		return defaultValue
	}
	s, ok := leaf.(string)
	if !ok {
		r.AddFault(field, "must be a duration with a unit such as \"150ms\", not %s", kindName(leaf))
		return defaultValue
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		r.AddFault(field, "%q is not a duration with a unit such as \"150ms\"", s)
		return defaultValue
	}
	if d < low || d > high {
		r.AddFault(field, "%v is out of bounds: must be from %v to %v", d, low, high)
		return defaultValue
	}
	return d
}

// units are the units that Size accepts; B comes last because it is a suffix of the others.
var units = []struct {
	name  string
	bytes int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"B", 1}}

// Size converts a leaf to a number of bytes from low to high; it must be a string with a unit.
func (r *Reader) Size(field string, leaf any, defaultValue, low, high int64) int64 {
	if leaf == nil {
		return defaultValue
	}
	s, ok := leaf.(string)
	if !ok {
		r.AddFault(field, "must be a size with a unit such as \"64KiB\", not %s", kindName(leaf))
		return defaultValue
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
			return defaultValue
		}
		return n * u.bytes
	}
	r.AddFault(field, "%q is not a size with the unit B, KiB or MiB", s)
	return defaultValue
}

// FormatSize formats n bytes in the largest unit that divides it.
func FormatSize(n int64) string {
	switch {
	case n != 0 && n%(1<<20) == 0:
		return strconv.FormatInt(n>>20, 10) + "MiB"
	case n != 0 && n%(1<<10) == 0:
		return strconv.FormatInt(n>>10, 10) + "KiB"
	}
	return strconv.FormatInt(n, 10) + "B"
}

func kindName(leaf any) string {
	switch leaf.(type) {
	case string:
		return "a string"
	case bool:
		return "a boolean"
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
