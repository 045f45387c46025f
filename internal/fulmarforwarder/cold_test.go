package fulmarforwarder_test

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarcoldness"
	"github.com/fulmarbend/fulmarbend/internal/fulmarforwarder"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarbalancer"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarpermit"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarroute"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarwarmup"
)

// startCold returns the dependencies of a forwarder in front of a service whose cold targets take coldRate requests a second. The targets with the
// given ids are cold by their entries.
func startCold(t *testing.T, coldRate float64, gate fulmarforwarder.Gate, cold []string, targets ...*target) fulmarforwarder.Deps {
	t.Helper()
	f := start(t, false, targets...)
	f.views.Update(func(v *fulmarview.View) {
		config := v.Routes.Config()
		config.Version++
		config.Services = []fulmarroute.Service{{Name: "free", ColdRate: coldRate}, {Name: "keyed", Keyed: true, ColdRate: coldRate}}
		v.Routes, _ = fulmarroute.New(config)
		changed := make([]fulmarcatalog.Target, 0, len(cold))
		for _, id := range cold {
			listed, _ := v.Catalog.Target(id)
			listed.WarmupLeft, listed.SeenAt = time.Minute, time.Now()
			changed = append(changed, listed)
		}
		v.Catalog = v.Catalog.With(changed, nil)
	})
	deps := f.deps
	deps.Coldness = fulmarcoldness.New(fulmarwarmup.Rule{Over: 1.5, Slack: 8}, f.views, time.Now)
	if gate != nil {
		deps.Gate = gate
	}
	return deps
}

// Guards against a target that turns cold without a change of its entry, and is sent as much as before.
func TestColdnessOfAnswer(t *testing.T) {
	for _, c := range []struct {
		name, value string
		coldRate    float64
		bounded     bool
	}{
		{"cold", "2500", 5.4, true},
		{"fraction", "12000.5", 5.4, true},
		{"warm", "0", 5.4, false},
		{"no rate configured", "2500", 0, false},
		{"no number", "soon", 5.4, false},
		{"negative", "-1", 5.4, false},
		{"damaged", "1e300", 5.4, false},
		{"not a number", "NaN", 5.4, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			x := newTarget(t, "x", "HTTP/1.1 200 x\r\nSign: s\r\nId: one\r\nCold: "+c.value+"\r\nContent-Length: 4\r\n\r\nfrom")
			deps := startCold(t, c.coldRate, nil, nil, x)
			expectStatus(g, fulmarforwarder.New(deps).Serve(t.Context(), request(t, "/f/1", "")), http.StatusOK)
			_, bounded := deps.Coldness.Rate("x")
			g.Expect(bounded).To(Equal(c.bounded))
		})
	}
}

// callingGate takes the time of a call of the leader for each request to one of the closed targets, which it refuses.
type callingGate struct{ closed closedGate }

func (c callingGate) Admit(ctx context.Context, r fulmarpermit.Request) (time.Duration, bool) {
	after, ok := c.closed.Admit(ctx, r)
	if !ok {
		time.Sleep(time.Millisecond)
	}
	return after, ok
}

// Guards against requests without a key that ask for permits of one cold target after another until their time is over, while
// warm targets have room.
func TestRequestGoesToWarmTarget(t *testing.T) {
	g := NewWithT(t)
	var cold []string
	var targets []*target
	closed := closedGate{}
	for i := range 40 {
		id := strconv.Itoa(i)
		targets = append(targets, newTarget(t, id))
		cold = append(cold, id)
		closed[id] = time.Second
	}
	warm := newTarget(t, "warm")
	deps := startCold(t, 5.4, callingGate{closed}, cold, append(targets, warm)...)
	f := fulmarforwarder.New(deps)
	for range 4 {
		deps.Balancer.RecordLoad(time.Now(), "warm", fulmarbalancer.Load{Running: 3, Waiting: 9, Slots: 3}) // so that the cold ones cost less
		expectStatus(g, f.Serve(t.Context(), request(t, "/f/1", "")), http.StatusOK)
	}
	g.Expect(sends(targets...)).To(BeZero())
	g.Expect(sends(warm)).To(Equal(4))
}
