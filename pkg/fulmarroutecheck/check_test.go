package fulmarroutecheck_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarfinding"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarroute"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarroutecheck"
)

// valid returns a configuration without findings.
func valid() fulmarroute.Config {
	return fulmarroute.Config{
		Version:  3,
		Services: []fulmarroute.Service{{Name: "s", Keyed: true, WarmupTime: time.Second}, {Name: "t"}},
		Routes: []fulmarroute.Route{
			{Name: "a", Host: "h", Prefix: "/a/", Timeout: time.Second, LatencyObjective: time.Second / 2, Attempts: 2, Parts: []fulmarroute.Part{{Service: "s", Weight: 1}}},
			{Name: "b", Host: "h", Prefix: "/", Timeout: time.Second, LatencyObjective: time.Second / 2, Attempts: 1, Parts: []fulmarroute.Part{{Service: "t", Weight: 1}}},
		},
		Limits: fulmarroute.Limits{Header: 8192, Body: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

// expectOne checks that a changed configuration has exactly one finding of the severity, at the entry.
func expectOne(t *testing.T, severity fulmarfinding.Severity, entry string, change func(*fulmarroute.Config)) {
	t.Helper()
	g := NewWithT(t)
	c := valid()
	change(&c)
	list := fulmarroutecheck.Check(c)
	g.Expect(list).To(HaveLen(1))
	g.Expect(list[0].Severity).To(Equal(severity))
	g.Expect(list[0].Entry).To(Equal(entry))
	g.Expect(fulmarfinding.HasFault(list)).To(Equal(severity == fulmarfinding.Fault))
}

// Guards against configurations that are sent although they cannot do what they say, and against findings about valid ones.
func TestCheck(t *testing.T) {
	NewWithT(t).Expect(fulmarroutecheck.Check(valid())).To(BeEmpty())
	for _, c := range []struct {
		name     string
		severity fulmarfinding.Severity
		entry    string
		change   func(*fulmarroute.Config)
	}{
		{"unknown service", fulmarfinding.Fault, "configuration", func(c *fulmarroute.Config) {
			c.Routes[0].Parts = append(c.Routes[0].Parts, fulmarroute.Part{Service: "x", Weight: 1})
		}},
		{"equal host and prefix", fulmarfinding.Unreachable, "route b", func(c *fulmarroute.Config) { c.Routes[1].Host, c.Routes[1].Prefix = "H", "/a/" }},
		{"host with a port", fulmarfinding.Unreachable, "route a", func(c *fulmarroute.Config) { c.Routes[0].Host = "h:80" }},
		{"prefix with a query", fulmarfinding.Unreachable, "route a", func(c *fulmarroute.Config) { c.Routes[0].Prefix = "/a?b/" }},
		{"weight of zero", fulmarfinding.Unreachable, "route a", func(c *fulmarroute.Config) {
			c.Routes[0].Parts = append(c.Routes[0].Parts, fulmarroute.Part{Service: "t"})
		}},
		{"service without a route", fulmarfinding.Unreachable, "service t", func(c *fulmarroute.Config) { c.Routes[1].Parts[0].Service = "s" }},
		{"equal names", fulmarfinding.Contradiction, "route a", func(c *fulmarroute.Config) { c.Routes[1].Name = "a" }},
		{"objective above the timeout", fulmarfinding.Contradiction, "route a", func(c *fulmarroute.Config) { c.Routes[0].LatencyObjective = time.Minute }},
		{"no objective", fulmarfinding.Contradiction, "route a", func(c *fulmarroute.Config) { c.Routes[0].LatencyObjective = 0 }},
		{"negative priority", fulmarfinding.Contradiction, "route a", func(c *fulmarroute.Config) { c.Routes[0].Priority = -1 }},
		{"unknown kind", fulmarfinding.Contradiction, "route a", func(c *fulmarroute.Config) { c.Routes[0].Kind = fulmarroute.UnknownKind }},
		{"service defined twice", fulmarfinding.Contradiction, "service t", func(c *fulmarroute.Config) {
			c.Services = append(c.Services, fulmarroute.Service{Name: "t"})
		}},
		{"slow keys without keys", fulmarfinding.Contradiction, "service t", func(c *fulmarroute.Config) { c.Services[1].WarmupTime = time.Second }},
		{"rate of cold targets without coldness", fulmarfinding.Contradiction, "service s", func(c *fulmarroute.Config) { c.Services[0].ColdRate = 5 }},
		{"head that may take longer than a connection", fulmarfinding.Contradiction, "limits", func(c *fulmarroute.Config) { c.Limits.HeaderTimeout = time.Minute }},
		{"negative limit", fulmarfinding.Contradiction, "limits", func(c *fulmarroute.Config) { c.Limits.Body = -1 }},
		{"idle timeout in another unit", fulmarfinding.Contradiction, "limits", func(c *fulmarroute.Config) {
			c.Limits.IdleTimeout, c.Limits.HeaderTimeout = 15*time.Millisecond, time.Millisecond
		}},
	} {
		t.Run(c.name, func(t *testing.T) { expectOne(t, c.severity, c.entry, c.change) })
	}

	// Guards against a check that stops at the first fault, so that each costs another try.
	t.Run("all faults at once", func(t *testing.T) {
		g := NewWithT(t)
		c := valid()
		c.Routes[0].Prefix, c.Routes[1].Timeout = "/a", 0
		c.Routes[1].LatencyObjective = 0
		faults := 0
		for _, f := range fulmarroutecheck.Check(c) {
			if f.Severity == fulmarfinding.Fault {
				faults++
			}
		}
		g.Expect(faults).To(Equal(2))
		_, err := fulmarroute.New(c)
		g.Expect(err).To(HaveOccurred())
	})
}

func TestDiff(t *testing.T) {
	g := NewWithT(t)
	from, to := valid(), valid()
	to.Routes = []fulmarroute.Route{to.Routes[1], to.Routes[0]}
	g.Expect(fulmarroutecheck.Diff(from, to)).To(BeEmpty(), "the order does not matter")
	to.Routes[1].Timeout = 2 * time.Second
	to.Services = append(to.Services, fulmarroute.Service{Name: "u"})
	to.Routes = to.Routes[1:]
	g.Expect(fulmarroutecheck.Diff(from, to)).To(ConsistOf(
		HavePrefix("- route b: "), And(HavePrefix("~ route a: "), ContainSubstring("timeout 1s"), ContainSubstring("timeout 2s")), HavePrefix("+ service u: "),
	))
}
