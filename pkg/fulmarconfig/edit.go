package fulmarconfig

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmartoml"
)

// ErrUneditable reports that the text is written in a TOML form that the edit does not support,
// such as an inline table; the operator edits the text by hand instead.
var ErrUneditable = errors.New("fulmarconfig: edit is not supported for this form of TOML")

// defaultsKeys holds the keys of [defaults] and whether the value is a quoted string.
var defaultsKeys = map[string]bool{
	SettingWeight: false, SettingQueue: false, SettingTimeout: true, SettingMaxTimeout: true, SettingBody: true,
	"slots": false, "long": false, "moving": false,
}

// SetDefault returns the text with the key name of [defaults] set to value, which is given without quotes.
func (c Config) SetDefault(name, value string) ([]byte, error) {
	quoted, ok := defaultsKeys[name]
	if !ok {
		return nil, &FaultsError{[]Fault{{Field: "defaults." + name, Problem: "unknown key"}}}
	}
	if quoted {
		value = quote(value)
	} else if strings.Trim(value, "0123456789.+-eE_") != "" || value == "" {
		return nil, &FaultsError{[]Fault{{Field: "defaults." + name, Problem: "must be a number"}}}
	}
	text := c.Text()
	reader := fulmartoml.New(text, new(configFile))
	if k, ok := reader.Position("defaults." + name); ok {
		if k.ValueSpan.End == 0 {
			return nil, errors.Wrapf(ErrUneditable, "value of %s", name)
		}
		return validate(slices.Concat(text[:k.ValueSpan.Start], []byte(value), text[k.ValueSpan.End:]))
	}
	entry := name + " = " + value + "\n"
	if k, ok := reader.Position("defaults"); ok {
		offset := lineStart(text, k.Line+1)
		if offset > 0 && text[offset-1] != '\n' {
			entry = "\n" + entry
		}
		return validate(slices.Concat(text[:offset], []byte(entry), text[offset:]))
	}
	// The table is appended at the end: top-level keys that followed it would become part of it.
	return validate(appendBlock(text, "[defaults]\n"+entry))
}

// WithException returns the text with the exception added; it replaces an exception of the same name.
func (c Config) WithException(e Exception) ([]byte, error) {
	text := c.Text()
	if i := slices.IndexFunc(c.dataOrDefaults().exceptions, func(o Exception) bool { return o.Name == e.Name }); i >= 0 {
		var err error
		if text, err = removeTable(text, "exception", i); err != nil {
			return nil, err
		}
	}
	var b strings.Builder
	b.WriteString("[[exception]]\nname = " + quote(e.Name) + "\n")
	if e.Service != "" {
		b.WriteString("service = " + quote(e.Service) + "\n")
	}
	if e.Group != "" {
		b.WriteString("group = " + quote(e.Group) + "\n")
	}
	if e.Weight != nil {
		b.WriteString("weight = " + strconv.FormatFloat(*e.Weight, 'f', -1, 64) + "\n")
	}
	if e.MaxQueue != nil {
		fmt.Fprintf(&b, "queue = %d\n", *e.MaxQueue)
	}
	if e.Timeout != nil {
		fmt.Fprintf(&b, "timeout = %q\n", e.Timeout)
	}
	if e.MaxTimeout != nil {
		fmt.Fprintf(&b, "maxtimeout = %q\n", e.MaxTimeout)
	}
	if e.MaxBody != nil {
		fmt.Fprintf(&b, "body = %q\n", fulmartoml.FormatSize(*e.MaxBody))
	}
	b.WriteString("reason = " + quote(e.Reason) + "\n")
	return validate(appendBlock(text, b.String()))
}

// WithoutException returns the text without the exception named name and the comments directly above it.
func (c Config) WithoutException(name string) ([]byte, error) {
	i := slices.IndexFunc(c.dataOrDefaults().exceptions, func(e Exception) bool { return e.Name == name })
	if i < 0 {
		return nil, &FaultsError{[]Fault{{Field: "exception", Problem: fmt.Sprintf("there is no exception %q", name)}}}
	}
	return removeTableAndValidate(c.Text(), "exception", i)
}

// WithDrain returns the text with a drain of the target added.
func (c Config) WithDrain(target, reason string) ([]byte, error) {
	return validate(appendBlock(c.Text(), "[[drain]]\ntarget = "+quote(target)+"\nreason = "+quote(reason)+"\n"))
}

// WithoutDrain returns the text without the drain of the target.
func (c Config) WithoutDrain(target string) ([]byte, error) {
	var f configFile
	fulmartoml.New(c.Text(), &f)
	for i, d := range f.Drain {
		if d.Target == target {
			return removeTableAndValidate(c.Text(), "drain", i)
		}
	}
	return nil, &FaultsError{[]Fault{{Field: "drain", Problem: fmt.Sprintf("target %q is not drained", target)}}}
}

// validate returns the text if it parses without errors.
func validate(text []byte) ([]byte, error) {
	if _, err := Parse(text); err != nil {
		return nil, err
	}
	return text, nil
}

func removeTableAndValidate(text []byte, table string, i int) ([]byte, error) {
	text, err := removeTable(text, table, i)
	if err != nil {
		return nil, err
	}
	return validate(text)
}

// removeTable removes the i-th element of an array of tables with the comment lines directly above it.
// Comment lines directly above the next table are kept.
func removeTable(text []byte, table string, i int) ([]byte, error) {
	r := fulmartoml.New(text, new(configFile))
	k, ok := r.Position(fmt.Sprintf("%s[%d]", table, i))
	if !ok {
		return nil, errors.Wrapf(ErrUneditable, "%s is not written as [[%s]]", table, table)
	}
	lines := strings.SplitAfter(string(text), "\n")
	isComment := func(n int) bool { return strings.HasPrefix(strings.TrimSpace(lines[n]), "#") }
	first, last := k.Line-1, k.Line
	for last < len(lines) && !r.TableStartsAt(last+1) {
		last++
	}
	for last > k.Line && last < len(lines) && isComment(last-1) {
		last--
	}
	for first > 0 && isComment(first-1) {
		first--
	}
	return []byte(strings.Join(lines[:first], "") + strings.Join(lines[last:], "")), nil
}

func appendBlock(text []byte, block string) []byte {
	text = bytes.TrimRight(text, "\n")
	if len(text) > 0 {
		text = append(text, "\n\n"...)
	}
	return append(text, block...)
}

// lineStart returns the byte offset of the start of a line; lines are counted from 1.
func lineStart(text []byte, line int) int {
	offset := 0
	for range line - 1 {
		n := bytes.IndexByte(text[offset:], '\n')
		if n < 0 {
			return len(text)
		}
		offset += n + 1
	}
	return offset
}

// quote returns s as a TOML basic string.
func quote(s string) string {
	var b strings.Builder
	b.WriteByte('"')
	for _, r := range s {
		switch {
		case r == '"' || r == '\\':
			b.WriteByte('\\')
			b.WriteRune(r)
		case r < 0x20 || r == 0x7f:
			fmt.Fprintf(&b, "\\u%04X", r)
		default:
			b.WriteRune(r)
		}
	}
	return b.String() + `"`
}
