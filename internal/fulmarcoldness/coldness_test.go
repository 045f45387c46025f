package fulmarcoldness_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarcoldness"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarroute"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarwarmup"
)

var now = time.Unix(1000, 0)

// newColdness returns the coldness of targets: cold ones and a warm one of the service board, and one of a service that states
// no rate of cold targets.
func newColdness(t *testing.T) *fulmarcoldness.Coldness {
	t.Helper()
	routes, err := fulmarroute.New(fulmarroute.Config{Version: 1, Services: []fulmarroute.Service{{Name: "board", ColdRate: 5}, {Name: "desk"}}})
	if err != nil {
		t.Fatal(err)
	}
	target := func(id, service string, left time.Duration) fulmarcatalog.Target {
		return fulmarcatalog.Target{ID: id, Born: 1, Service: service, WarmupLeft: left, SeenAt: now.Add(-time.Second)}
	}
	views := fulmarview.New()
	views.Update(func(v *fulmarview.View) {
		v.Routes, v.Catalog = routes, fulmarcatalog.New([]fulmarcatalog.Target{
			target("cold", "board", 3*time.Second), target("warmed up", "board", time.Second), target("warm", "board", 0), target("other", "desk", 3*time.Second),
		})
	})
	return fulmarcoldness.New(fulmarwarmup.Rule{Over: 1.5, Slack: 8}, views, func() time.Time { return now })
}

// Guards against targets that are bounded although they are warm or their service states no rate, and against cold ones that are
// not: by their entry, or by what they said in this incarnation.
func TestRate(t *testing.T) {
	for _, c := range []struct {
		target string
		said   fulmarrange.Incarnation // of whom an answer states 2 s
		cold   bool
	}{
		{"cold", fulmarrange.Incarnation{}, true},
		{"warmed up", fulmarrange.Incarnation{}, false},
		{"warm", fulmarrange.Incarnation{}, false},
		{"warm", fulmarrange.Incarnation{ID: "warm", Born: 1}, true},
		{"warm", fulmarrange.Incarnation{ID: "warm", Born: 2}, false},
		{"other", fulmarrange.Incarnation{ID: "other", Born: 1}, false},
		{"unknown", fulmarrange.Incarnation{ID: "unknown", Born: 1}, false},
	} {
		t.Run(c.target, func(t *testing.T) {
			g := NewWithT(t)
			coldness := newColdness(t)
			coldness.Record(c.said, now, 2*time.Second)
			rate, limited := coldness.Rate(c.target)
			turnRate, turnLimited := coldness.Turns().Rate(c.target)
			g.Expect([]bool{limited, turnLimited}).To(HaveEach(c.cold))
			if c.cold {
				g.Expect(rate).To(BeNumerically("~", 5, 0.01))
				g.Expect(turnRate).To(BeNumerically("<", rate/2))
			}
		})
	}
}

// Guards against a daemon without a view or a rule that bounds targets, or ends.
func TestNothingKnown(t *testing.T) {
	g := NewWithT(t)
	for _, coldness := range []*fulmarcoldness.Coldness{nil, fulmarcoldness.New(fulmarwarmup.Rule{}, fulmarview.New(), time.Now)} {
		_, limited := coldness.Rate("x")
		g.Expect(limited).To(BeFalse())
		g.Expect(coldness.Left(fulmarcatalog.Target{}, now)).To(BeZero())
	}
}
