package fulmarconfig_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarconfig"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarfinding"
)

const inspected = "[[service]]\nname = \"a\"\n[[service]]\nname = \"b\"\n[[group]]\nname = \"g\"\n[[group]]\nname = \"h\"\n"

// exception returns the text of an exception.
func exceptionText(name, where, setting string) string {
	return "[[exception]]\nname = \"" + name + "\"\n" + where + "\n" + setting + "\nreason = \"r\"\n"
}

// Guards against exceptions that operators keep although they change nothing, and against findings about those that do.
func TestInspect(t *testing.T) {
	for _, c := range []struct {
		name, text string
		entries    []string
	}{
		{"no exceptions", "", nil},
		{"exception for a service", exceptionText("x", `service = "a"`, "queue = 8"), nil},
		{"exception for a group", exceptionText("x", `group = "g"`, "weight = 2.5"), nil},
		{"same value as the default", exceptionText("x", `service = "a"`, "queue = 64"), []string{"exception x"}},
		{
			"replaced for each group", exceptionText("x", `service = "a"`, "queue = 8") +
				exceptionText("y", "service = \"a\"\ngroup = \"g\"", "queue = 9") + exceptionText("z", "service = \"a\"\ngroup = \"h\"", "queue = 10"),
			[]string{"exception x"},
		},
		{
			"default that no service has", exceptionText("x", `service = "a"`, "queue = 8") + exceptionText("y", `service = "b"`, "queue = 9"),
			[]string{"defaults.queue"},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			config, err := fulmarconfig.Parse([]byte(inspected + c.text))
			g.Expect(err).NotTo(HaveOccurred())
			var entries []string
			for _, f := range config.Inspect() {
				g.Expect(f.Severity).To(Equal(fulmarfinding.Unreachable))
				entries = append(entries, f.Entry)
			}
			g.Expect(entries).To(Equal(c.entries))
		})
	}
}
