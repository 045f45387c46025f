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

// ErrEdit reports an edit that the form of the text does not allow; the operator edits the text instead.
var ErrUneditable = errors.New("fulmarconfig: cannot edit this text")

// defaultNames are the settings of [defaults], and whether their value is a string.
var defaultNames = map[string]bool{
	SettingWeight: false, SettingQueue: false, SettingTimeout: true, SettingMaxTimeout: true, SettingBody: true,
	"slots": false, "long": false, "moving": false,
}

// SetDefault returns the text with a setting of [defaults] changed; value is written without quotes.
func (c Config) SetDefault(name, value string) ([]byte, error) {
	quoted, ok := defaultNames[name]
	if !ok {
		return nil, &FaultsError{[]Fault{{Field: "defaults." + name, Problem: "unknown key"}}}
	}
	if quoted {
		value = quote(value)
	} else if strings.Trim(value, "0123456789.+-eE_") != "" || value == "" {
		return nil, &FaultsError{[]Fault{{Field: "defaults." + name, Problem: "must be a number"}}}
	}
	text := c.Text()
	r := fulmartoml.New(text, new(file))
	if k, ok := r.Position("defaults." + name); ok {
		if k.ValueSpan.End == 0 {
			return nil, errors.Wrapf(ErrUneditable, "value of %s", name)
		}
		return checked(slices.Concat(text[:k.ValueSpan.Start], []byte(value), text[k.ValueSpan.End:]))
	}
	entry := name + " = " + value + "\n"
	if k, ok := r.Position("defaults"); ok {
		at := lineStart(text, k.Line+1)
		if at > 0 && text[at-1] != '\n' {
			entry = "\n" + entry
		}
		return checked(slices.Concat(text[:at], []byte(entry), text[at:]))
	}
	// The table comes last, so that it takes no top-level key of the text into itself.
	return checked(appendBlock(text, "[defaults]\n"+entry))
}

// WithException returns the text with the exception added, or replaced if its name is taken.
func (c Config) WithException(e Exception) ([]byte, error) {
	text := c.Text()
	if i := slices.IndexFunc(c.state().exceptions, func(o Exception) bool { return o.Name == e.Name }); i >= 0 {
		var err error
		if text, err = cut(text, "exception", i); err != nil {
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
	return checked(appendBlock(text, b.String()))
}

// WithoutException returns the text without the exception named name and the comments that belong to it.
func (c Config) WithoutException(name string) ([]byte, error) {
	i := slices.IndexFunc(c.state().exceptions, func(e Exception) bool { return e.Name == name })
	if i < 0 {
		return nil, &FaultsError{[]Fault{{Field: "exception", Problem: fmt.Sprintf("there is no exception %q", name)}}}
	}
	return cutChecked(c.Text(), "exception", i)
}

// WithDrain returns the text with a drain of the target added.
func (c Config) WithDrain(target, reason string) ([]byte, error) {
	return checked(appendBlock(c.Text(), "[[drain]]\ntarget = "+quote(target)+"\nreason = "+quote(reason)+"\n"))
}

// WithoutDrain returns the text without the drain of the target.
func (c Config) WithoutDrain(target string) ([]byte, error) {
	var f file
	fulmartoml.New(c.Text(), &f)
	for i, d := range f.Drain {
		if d.Target == target {
			return cutChecked(c.Text(), "drain", i)
		}
	}
	return nil, &FaultsError{[]Fault{{Field: "drain", Problem: fmt.Sprintf("target %q is not drained", target)}}}
}

// checked returns the text if it parses.
func checked(text []byte) ([]byte, error) {
	if _, err := Parse(text); err != nil {
		return nil, err
	}
	return text, nil
}

func cutChecked(text []byte, table string, i int) ([]byte, error) {
	text, err := cut(text, table, i)
	if err != nil {
		return nil, err
	}
	return checked(text)
}

// cut removes the i-th array table with the comment lines directly above it, up to the lines
// that belong to the next table.
func cut(text []byte, table string, i int) ([]byte, error) {
	r := fulmartoml.New(text, new(file))
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

// lineStart returns the offset of a line, counted from 1.
func lineStart(text []byte, line int) int {
	at := 0
	for range line - 1 {
		n := bytes.IndexByte(text[at:], '\n')
		if n < 0 {
			return len(text)
		}
		at += n + 1
	}
	return at
}

// quote returns a basic string of TOML.
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
