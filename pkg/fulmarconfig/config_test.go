package fulmarconfig_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarconfig"
)

const good = `# fleet of Odda
[defaults]
weight = 1 # equal shares
timeout = "5s"

[[service]]
name = "rota-board"
idempotent = true

[[service]]
name = "pay-desk"
slots = 64

[[group]]
name = "north"
[[group]]
name = "south"

# Payouts at month's end.
[[exception]]
name = "payout"
service = "pay-desk"
maxtimeout = "10m"
queue = 8
reason = "payout runs are long"

# South pays for more.
[[exception]]
name = "south"
group = "south"
weight = 2.5
reason = "contract"

[[exception]]
name = "south-pay"
service = "pay-desk"
group = "south"
queue = 16
reason = "many staff"

# Broken disk.
[[drain]]
target = "rota-7"
reason = "disk"
`

func parse(text string) fulmarconfig.Config {
	GinkgoHelper()
	c, err := fulmarconfig.Parse([]byte(text))
	Expect(err).NotTo(HaveOccurred())
	return c
}

func expectFault(text string, line int, field, problem string) {
	GinkgoHelper()
	_, err := fulmarconfig.Parse([]byte(text))
	var faults *fulmarconfig.FaultsError
	Expect(errors.As(err, &faults)).To(BeTrue(), "%v", err)
	for _, f := range faults.Faults {
		if f.Line == line && f.Field == field && strings.Contains(f.Problem, problem) {
			return
		}
	}
	Fail("no such fault in: " + err.Error())
}

// edited replaces old in the good text, which must contain it.
func edited(old, replacement string) string {
	GinkgoHelper()
	Expect(good).To(ContainSubstring(old))
	return strings.Replace(good, old, replacement, 1)
}

var _ = Describe("Parse", func() {
	// Guards against limits taken from a less specific exception, or with the wrong source.
	It("resolves limits by specificity", func() {
		c := parse(good)
		l, ok := c.Limits("pay-desk", "south")
		Expect(ok).To(BeTrue())
		Expect(l.Weight).To(Equal(2.5))
		Expect(l.MaxQueue).To(Equal(16))
		Expect(l.MaxTimeout).To(Equal(10 * time.Minute))
		Expect(l.Source).To(Equal(map[string]string{
			"weight": "exception south: contract", "queue": "exception south-pay: many staff",
			"timeout": "default", "maxtimeout": "exception payout: payout runs are long", "body": "default",
		}))
		l, _ = c.Limits("pay-desk", "north")
		Expect(l.MaxQueue).To(Equal(8))
		Expect(l.Weight).To(Equal(1.0))
		l, _ = c.Limits("rota-board", "south")
		Expect(l.Weight).To(Equal(2.5))
		Expect(l.MaxQueue).To(Equal(fulmarconfig.DefaultMaxQueue))
		_, ok = c.Limits("rota-board", "west")
		Expect(ok).To(BeFalse())
		_, ok = c.Limits("west", "south")
		Expect(ok).To(BeFalse())
	})

	// Guards against values that are parsed but not returned by the accessors.
	It("returns what the text says", func() {
		c := parse(good)
		Expect(c.Services()).To(Equal([]fulmarconfig.Service{{Name: "pay-desk", Slots: 64}, {Name: "rota-board", Slots: 1024, Idempotent: true}}))
		Expect(c.Groups()).To(Equal([]string{"north", "south"}))
		Expect(c.DrainedTargets()).To(Equal([]string{"rota-7"}))
		Expect(c.MaxMovingSlots()).To(Equal(64))
		Expect(c.LongRatio()).To(Equal(8.0))
		Expect(string(c.Text())).To(Equal(good))
		Expect(fulmarconfig.Config{}.MaxMovingSlots()).To(Equal(64))
	})

	// Guards against an invalid text that is accepted and given a meaning its author did not intend.
	DescribeTable("refuses", func(old, replacement string, line int, field, problem string) {
		expectFault(edited(old, replacement), line, field, problem)
	},
		Entry("unknown key", `idempotent`, `idempotant`, 8, "service[0].idempotant", "unknown key"),
		Entry("unknown table", `[[drain]]`, `[[drains]]`, 42, "drains[0]", "unknown key"),
		Entry("key in upper case", `weight = 1 `, `Weight = 1 `, 3, "defaults.Weight", "unknown key"),
		Entry("unknown key in an inline table", "# fleet of Odda\n", "drain = [{target = 'a', reason = 'b'},\n{target = 'c', why = 'd'}]\n", 2, "drain[1].why", "unknown key"),
		Entry("table for a value", `weight = 1 `, `weight.north = 1 `, 3, "defaults.weight", "not a table"),
		Entry("syntax", `"disk"`, `"disk`, 44, "", "new lines"),
		Entry("duplicate key", `slots = 64`, "slots = 64\nslots = 65", 13, "service[1].slots", "already"),
		Entry("bad unit", `"5s"`, `"5 seconds"`, 4, "defaults.timeout", "unit"),
		Entry("no unit", `"5s"`, `5`, 4, "defaults.timeout", "unit"),
		Entry("bad size", `weight = 1 `, `body = "1MB" `, 3, "defaults.body", "KiB"),
		Entry("zero size", `weight = 1 `, `body = "0B" `, 3, "defaults.body", "out of bounds"),
		Entry("size overflow", `weight = 1 `, `body = "9007199254740993MiB" `, 3, "defaults.body", "out of bounds"),
		Entry("zero weight", `weight = 1 `, `weight = 0 `, 3, "defaults.weight", "greater than 0"),
		Entry("negative weight", `weight = 2.5`, `weight = -2.5`, 31, "exception[1].weight", "greater than 0"),
		Entry("weight not a number", `weight = 2.5`, `weight = nan`, 31, "exception[1].weight", "greater than 0"),
		Entry("infinite weight", `weight = 2.5`, `weight = inf`, 31, "exception[1].weight", "out of bounds"),
		Entry("duplicate service", `"pay-desk"`, `"rota-board"`, 11, "service[1].name", "duplicate of line 7"),
		Entry("duplicate group", `"south"`, `"north"`, 17, "group[1].name", "duplicate"),
		Entry("duplicate exception", `name = "south-pay"`, `name = "south"`, 35, "exception[2].name", "duplicate of line 29"),
		Entry("missing reason", `reason = "contract"`, ``, 28, "exception[1].reason", "missing"),
		Entry("empty reason", `"contract"`, `" "`, 32, "exception[1].reason", "missing"),
		Entry("drain without reason", `reason = "disk"`, ``, 42, "drain[0].reason", "missing"),
		Entry("unknown service", "service = \"pay-desk\"\nmax", "service = \"pay\"\nmax", 22, "exception[0].service", "unknown service"),
		Entry("unknown group", "group = \"south\"\nweight", "group = \"west\"\nweight", 30, "exception[1].group", "unknown group"),
		Entry("exception without service or group", "group = \"south\"\nweight", "weight", 28, "exception[1]", "neither"),
		Entry("exception without value", "weight = 2.5\n", "", 28, "exception[1]", "no value"),
		Entry("same service", "group = \"south\"\nqueue", "queue", 37, "exception[2].queue", `overlaps with exception "payout"`),
		Entry("service and group exceptions for one setting", "weight = 2.5", "queue = 9", 31, "exception[1].queue", `overlaps with exception "payout"`),
		Entry("timeout above maxtimeout", `"5s"`, `"2m"`, 4, "defaults.timeout", "greater than maxtimeout"),
		Entry("maxtimeout below the timeout", `"10m"`, `"1s"`, 23, "exception[0].maxtimeout", "greater than maxtimeout 1s"),
		Entry("name with a slash", `"rota-board"`, `"rota/board"`, 7, "service[0].name", "letters"),
		Entry("ratio of long requests", `weight = 1 `, `long = 1 `, 3, "defaults.long", "greater than 1"),
		Entry("slots as text", `slots = 64`, `slots = "64"`, 12, "service[1].slots", "integer"),
	)

	// Guards against a text with many unknown keys that takes minutes of CPU time to report.
	It("bounds the faults of unknown keys", func(SpecContext) {
		for _, line := range []string{"[[x]]\ny = 1\n", "[[exception]]\ny = 1\n", "[x.y]\n"} {
			_, err := fulmarconfig.Parse([]byte(strings.Repeat(line, fulmarconfig.MaxTextSize/len(line))))
			var faults *fulmarconfig.FaultsError
			Expect(errors.As(err, &faults)).To(BeTrue())
			Expect(len(faults.Faults)).To(BeNumerically("<=", 102))
		}
	}, SpecTimeout(30*time.Second))

	// Guards against reporting only the first error, so that the operator would submit the text once for each.
	It("returns all errors at once in order of line", func() {
		text := strings.NewReplacer(`"5s"`, `5`, `slots = 64`, `slotz = 64`, `weight = 2.5`, `weight = 0`).Replace(good)
		_, err := fulmarconfig.Parse([]byte(text))
		var faults *fulmarconfig.FaultsError
		Expect(errors.As(err, &faults)).To(BeTrue())
		Expect(faults.Faults).To(HaveLen(3))
		Expect([]int{faults.Faults[0].Line, faults.Faults[1].Line, faults.Faults[2].Line}).To(Equal([]int{4, 12, 31}))
	})
})

var _ = Describe("edits", func() {
	value := 3.0

	// Guards against an edit that drops comments or changes other settings.
	DescribeTable("keep the rest of the text", func(edit func(fulmarconfig.Config) ([]byte, error), want string, diff ...string) {
		text, err := edit(parse(good))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(Equal(want))
		Expect(fulmarconfig.Diff(parse(good), parse(string(text)))).To(Equal(diff))
	},
		Entry("replace a default", func(c fulmarconfig.Config) ([]byte, error) { return c.SetDefault("weight", "2") },
			strings.Replace(good, "weight = 1 #", "weight = 2 #", 1), "~ defaults.weight: 1 -> 2"),
		Entry("replace a string", func(c fulmarconfig.Config) ([]byte, error) { return c.SetDefault("timeout", "6s") },
			strings.Replace(good, `"5s"`, `"6s"`, 1), "~ defaults.timeout: 5s -> 6s"),
		Entry("add a default", func(c fulmarconfig.Config) ([]byte, error) { return c.SetDefault("body", "2MiB") },
			strings.Replace(good, "[defaults]\n", "[defaults]\nbody = \"2MiB\"\n", 1), "~ defaults.body: 1MiB -> 2MiB"),
		Entry("remove an exception with its comment", func(c fulmarconfig.Config) ([]byte, error) { return c.WithoutException("payout") },
			cutOut(good, "# Payouts", "# South"), "- exception payout: service pay-desk, queue 8, maxtimeout 10m0s (payout runs are long)"),
		Entry("add an exception", func(c fulmarconfig.Config) ([]byte, error) {
			return c.WithException(fulmarconfig.Exception{Name: "n", Group: "north", Weight: &value, Reason: `a "b" \c`})
		}, good+"\n[[exception]]\nname = \"n\"\ngroup = \"north\"\nweight = 3\nreason = \"a \\\"b\\\" \\\\c\"\n", `+ exception n: group north, weight 3 (a "b" \c)`),
		Entry("add a drain", func(c fulmarconfig.Config) ([]byte, error) { return c.WithDrain("pay-1", "old") },
			good+"\n[[drain]]\ntarget = \"pay-1\"\nreason = \"old\"\n", "+ drain pay-1: old"),
		Entry("remove a drain", func(c fulmarconfig.Config) ([]byte, error) { return c.WithoutDrain("rota-7") },
			good[:strings.Index(good, "# Broken")], "- drain rota-7: disk"),
	)

	// Guards against an edit that returns a text which daemons would reject.
	It("are checked", func() {
		c := parse(good)
		for _, edit := range []func() ([]byte, error){
			func() ([]byte, error) { return c.SetDefault("weight", "0") },
			func() ([]byte, error) { return c.SetDefault("weight", "1\nqueue = 3") },
			func() ([]byte, error) { return c.SetDefault("wait", "1") },
			func() ([]byte, error) { return c.WithoutException("none") },
			func() ([]byte, error) { return c.WithoutDrain("none") },
			func() ([]byte, error) { return c.WithDrain("rota-7", "again") },
			func() ([]byte, error) {
				return c.WithException(fulmarconfig.Exception{Name: "x", Group: "north", Weight: &value})
			},
		} {
			_, err := edit()
			var faults *fulmarconfig.FaultsError
			Expect(errors.As(err, &faults)).To(BeTrue(), "%v", err)
		}
	})

	// Guards against a change of the number of slots, which would remap every key of a service.
	It("cannot change the slots of a service", func() {
		Expect(fulmarconfig.CheckChange(parse(good), parse(edited("slots = 64", "slots = 65")))).To(MatchError(ContainSubstring("pay-desk.slots")))
		Expect(fulmarconfig.CheckChange(parse(good), parse(edited("weight = 1 ", "slots = 65 ")))).To(MatchError(ContainSubstring("rota-board.slots")))
		Expect(fulmarconfig.CheckChange(fulmarconfig.Config{}, parse(good))).To(Succeed())
	})
})

// cutOut returns text without the part between two markers; the second marker is kept.
func cutOut(text, from, to string) string {
	return text[:strings.Index(text, from)] + text[strings.Index(text, to):]
}

// Guards against an exception whose reason contains characters that break adding or removing it.
var _ = It("adding and removing an exception restores the meaning", func() {
	rapid.Check(GinkgoT(), func(t *rapid.T) {
		c, err := fulmarconfig.Parse([]byte(good))
		if err != nil {
			t.Fatal(err)
		}
		weight := rapid.Float64Range(0.001, 1000).Draw(t, "weight")
		reason := "r" + rapid.StringMatching(`[ -~äé#\[\]]{0,40}`).Draw(t, "reason")
		text, err := c.WithException(fulmarconfig.Exception{Name: "new", Service: "rota-board", Group: "north", Weight: &weight, Reason: reason})
		if err != nil {
			t.Fatal(err)
		}
		with, err := fulmarconfig.Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		if l, _ := with.Limits("rota-board", "north"); l.Weight != weight || l.Source["weight"] != "exception new: "+reason {
			t.Fatalf("got %v from %q", l.Weight, l.Source["weight"])
		}
		text, err = with.WithoutException("new")
		if err != nil {
			t.Fatal(err)
		}
		without, err := fulmarconfig.Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		if diff := fulmarconfig.Diff(c, without); len(diff) != 0 {
			t.Fatal(diff)
		}
	})
})

var _ = Describe("Versioned", func() {
	// Guards against an encoding that loses the operation id, which is needed to resolve a put whose answer was lost.
	It("survives encoding", func() {
		v := fulmarconfig.Versioned{Version: 3, OperationID: "op", Author: "ann", Text: []byte(good)}
		b, err := v.Encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(fulmarconfig.DecodeVersioned(b)).To(Equal(v))
	})

	// Guards against encoded values larger than the key-value service stores.
	It("is bounded", func() {
		_, err := fulmarconfig.Versioned{Version: 1, Text: make([]byte, fulmarconfig.MaxTextSize+1)}.Encode()
		Expect(err).To(MatchError(fulmarconfig.ErrOutOfBounds))
		_, err = fulmarconfig.Versioned{}.Encode()
		Expect(err).To(MatchError(fulmarconfig.ErrOutOfBounds))
		_, err = fulmarconfig.DecodeVersioned(make([]byte, fulmarconfig.MaxTextSize*2))
		Expect(err).To(MatchError(fulmarconfig.ErrOutOfBounds))
		_, err = fulmarconfig.DecodeVersioned([]byte("nonsense"))
		Expect(err).To(MatchError(fulmarconfig.ErrEncoding))
	})
})

// FuzzParse guards against a panic, and against an accepted text whose limits are out of bounds.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{good, "", "[defaults]\nweight = 0", "exception = [{name = 'x'}]", "[[service]]\nname = 'a'\n[[service]]", "defaults.queue = 3", "service = 1", "[defaults", "\xff"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := fulmarconfig.Parse(text)
		if err != nil {
			var faults *fulmarconfig.FaultsError
			if !errors.As(err, &faults) || len(faults.Faults) == 0 {
				t.Fatalf("error without faults: %v", err)
			}
			return
		}
		for _, s := range c.Services() {
			for _, g := range c.Groups() {
				if l, ok := c.Limits(s.Name, g); !ok || l.Weight <= 0 || l.MaxQueue < 1 || l.Timeout > l.MaxTimeout {
					t.Fatalf("limits of %q at %q: %+v", g, s.Name, l)
				}
			}
		}
		if text, err := c.SetDefault("queue", "7"); err == nil {
			if edited, err := fulmarconfig.Parse(text); err != nil || edited.Defaults().MaxQueue != 7 {
				t.Fatalf("edit gave %q: %v", text, err)
			}
		}
	})
}

// FuzzDecodeVersioned guards against a panic, and against a decoded value that cannot be encoded again.
func FuzzDecodeVersioned(f *testing.F) {
	b, err := fulmarconfig.Versioned{Version: 1, OperationID: "o", Author: "a", Text: []byte("x")}.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{0xa0})
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		v, err := fulmarconfig.DecodeVersioned(b)
		if err != nil {
			return
		}
		if _, err := v.Encode(); err != nil {
			t.Fatal(err)
		}
	})
}

func BenchmarkLimits(b *testing.B) {
	for _, groups := range []int{10, 100, 1000} {
		var text strings.Builder
		text.WriteString("[[service]]\nname = \"s\"\n")
		for i := range groups {
			fmt.Fprintf(&text, "[[group]]\nname = \"g%d\"\n", i)
		}
		c, err := fulmarconfig.Parse([]byte(text.String()))
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint("groups=", groups), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				c.Limits("s", "g7")
			}
		})
	}
}

func ExampleDiff() {
	a, _ := fulmarconfig.Parse([]byte("[[group]]\nname = \"north\"\n"))
	b, _ := fulmarconfig.Parse([]byte("[defaults]\nqueue = 9\n"))
	for _, line := range fulmarconfig.Diff(a, b) {
		fmt.Println(line)
	}
	// Output:
	// ~ defaults.queue: 64 -> 9
	// - group north: present
}
