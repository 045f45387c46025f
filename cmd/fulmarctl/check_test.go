package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

const routesText = `{"Version":"r12","Routes":{"Columns":["Name","Host","Prefix","Kind","TimeoutMs","LatencyGoalMs","Priority","Attempts","Service"],` +
	`"Rows":[["a","h","/a/","safe",800,300,0,2,"board"],["b","h","/b/","upload",500,200,1,1,"desk"]]},` +
	`"Services":{"Columns":["Name","HealthPath","MaxConns","Sharded"],"Rows":[["board","/health",292,true],["desk","/health",292,null]]},` +
	`"Limits":{"MaxHeaderBytes":8192,"MaxBodyBytes":65536,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`

// write writes a file for the test and returns its path.
func write(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// checkRoutes runs the check and returns its exit code and output.
func checkRoutes(t *testing.T, args ...string) (code int, out string) {
	t.Helper()
	t.Setenv("FULMARBEND_BOOT", "")
	var stdout, stderr bytes.Buffer
	code = run(context.Background(), append([]string{"fulmarctl"}, args...), strings.NewReader(""), &stdout, &stderr)
	return code, stdout.String() + stderr.String()
}

// Guards against exit codes by which a script sends a configuration that daemons reject, or that cannot be meant.
func TestRoutesCheck(t *testing.T) {
	for _, c := range []struct {
		name, text string
		code       int
		output     string
	}{
		{"valid", routesText, exitOK, "no faults"},
		{"not readable", routesText[:50], exitRefused, "decode"},
		{"invalid route", strings.Replace(routesText, `"/b/"`, `"/b"`, 1), exitRefused, "error: configuration: prefix"},
		{"route that never matches", strings.Replace(routesText, `"/b/"`, `"/a/"`, 1), exitFindings, "unreachable: route b"},
		{"objective above the timeout", strings.Replace(routesText, "800,300", "800,900", 1), exitFindings, "contradiction: route a"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			code, out := checkRoutes(t, "routes", "check", write(t, "new.json", c.text))
			g.Expect(code).To(Equal(c.code), out)
			g.Expect(out).To(ContainSubstring(c.output))
		})
	}

	t.Run("differences", func(t *testing.T) {
		g := NewWithT(t)
		next := strings.Replace(strings.Replace(routesText, "r12", "r14", 1), "800,300", "900,300", 1)
		code, out := checkRoutes(t, "--json", "routes", "check", "--against", write(t, "old.json", routesText), write(t, "new.json", next))
		g.Expect(code).To(Equal(exitOK), out)
		var report checkReport
		g.Expect(json.Unmarshal([]byte(out), &report)).To(Succeed())
		g.Expect(report.Version).To(BeEquivalentTo(12))
		g.Expect(report.Diff).To(ConsistOf(And(HavePrefix("~ route a: "), ContainSubstring("900ms"))))
	})

	// Guards against a version that daemons ignore, as they never take a lower one.
	t.Run("version that is not later", func(t *testing.T) {
		g := NewWithT(t)
		old := write(t, "old.json", routesText)
		code, out := checkRoutes(t, "routes", "check", "--against", old, old)
		g.Expect(code).To(Equal(exitFindings), out)
		g.Expect(out).To(ContainSubstring("unreachable: version"))
	})

	t.Run("store that does not answer", func(t *testing.T) {
		g := NewWithT(t)
		boot := write(t, "boot.json", `{"Self":{"NodeName":"f","Ip":"127.0.0.1","Zone":"odda","Limits":{"CpuShare":1,"MemoryMb":206}},`+
			`"Network":{"Listen":{"Front":"127.0.0.1:1","Ready":"127.0.0.1:1"},"PortRange":[1,2]},"Platform":{"Platform":{"Address":"127.0.0.1:1"}},`+
			`"Terms":{"Bounds":{"DrainMs":2000,"GraceS":6,"HoldMaxMs":10000,"BudgetRatio":0.2,"BudgetExtra":144,"BudgetWindowS":10}}}`)
		code, out := checkRoutes(t, "routes", "check", "--boot", boot, write(t, "new.json", routesText))
		g.Expect(code).To(Equal(exitUnreachable), out)
	})

	t.Run("no file", func(t *testing.T) {
		code, out := checkRoutes(t, "routes", "check")
		NewWithT(t).Expect(code).To(Equal(exitUsage), out)
	})
}
