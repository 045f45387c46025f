package fulmarroute_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarroute"
)

func route(name, host, prefix string, parts ...fulmarroute.Part) fulmarroute.Route {
	if len(parts) == 0 {
		parts = []fulmarroute.Part{{Service: "s", Weight: 1}}
	}
	return fulmarroute.Route{Name: name, Host: host, Prefix: prefix, Timeout: time.Second, Parts: parts}
}

func config(routes ...fulmarroute.Route) fulmarroute.Config {
	return fulmarroute.Config{Version: 1, Services: []fulmarroute.Service{{Name: "s"}, {Name: "t"}}, Routes: routes}
}

// Guards against matching a route with a shorter prefix or of another host.
func TestMatch(t *testing.T) {
	table, err := fulmarroute.New(config(
		route("short", "a", "/x/"), route("long", "a", "/x/y/"), route("other", "b", "/x/y/z/"), route("root", "c", "/"),
	))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	for _, c := range []struct{ host, path, name string }{
		{"a", "/x/1", "short"},
		{"a", "/x/y/1", "long"},
		{"a", "/x/y/z/1", "long"},
		{"a", "/x/y", "short"},
		{"A", "/x/1", "short"},
		{"a:8080", "/x/1", "short"},
		{"a", "/x", ""},
		{"a", "/", ""},
		{"b", "/x/y/1", ""},
		{"c", "/anything", "root"},
		{"d", "/x/1", ""},
	} {
		t.Run(c.host+c.path, func(t *testing.T) {
			g := NewWithT(t)
			r, ok := table.Match(c.host, c.path)
			g.Expect(r.Name).To(Equal(c.name))
			g.Expect(ok).To(Equal(c.name != ""))
		})
	}
}

// Guards against accepting a configuration with an invalid route.
func TestInvalidRoutes(t *testing.T) {
	for name, r := range map[string]fulmarroute.Route{
		"no host":         route("r", "", "/"),
		"prefix":          route("r", "h", "/x"),
		"unknown service": route("r", "h", "/", fulmarroute.Part{Service: "none", Weight: 1}),
		"negative weight": route("r", "h", "/", fulmarroute.Part{Service: "s", Weight: -1}, fulmarroute.Part{Service: "t", Weight: 2}),
		"weights of zero": route("r", "h", "/", fulmarroute.Part{Service: "s"}),
		"without timeout": {Name: "r", Host: "h", Prefix: "/", Parts: []fulmarroute.Part{{Service: "s", Weight: 1}}},
		"invalid kind": {
			Name: "r", Host: "h", Prefix: "/", Timeout: time.Second, Kind: 9, Parts: []fulmarroute.Part{{Service: "s", Weight: 1}},
		},
		"without services": {Name: "r", Host: "h", Prefix: "/", Timeout: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := fulmarroute.New(config(r))
			g.Expect(err).To(HaveOccurred())
		})
	}
}

// Guards against shares of requests that deviate from the weights.
func TestSplit(t *testing.T) {
	g := NewWithT(t)
	r := route("r", "h", "/", fulmarroute.Part{Service: "s", Weight: 1}, fulmarroute.Part{Service: "t", Weight: 3})
	splitter := fulmarroute.NewSplitter()
	count := map[string]int{}
	for i := 1; i <= 400; i++ {
		count[splitter.Next(r)]++
		g.Expect(math.Abs(float64(count["t"]) - 0.75*float64(i))).To(BeNumerically("<=", 1.5))
	}
}
