package fulmarhedge_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarhedge"
)

var start = time.Unix(1000, 0)

// learnt returns a hedger of a policy that knows 100 answers of 100 ms.
func learnt(p fulmarhedge.Policy) *fulmarhedge.Hedger {
	h := fulmarhedge.New(p)
	for range 100 {
		h.RecordAnswer("r", 100*time.Millisecond)
	}
	return h
}

// taken returns how many of n hedges are permitted.
func taken(h *fulmarhedge.Hedger, now time.Time, n int) int {
	permitted := 0
	for range n {
		if h.Take(now, "r", "s", time.Second) == fulmarhedge.Permitted {
			permitted++
		}
	}
	return permitted
}

func TestPolicy(t *testing.T) {
	for _, c := range []struct {
		name    string
		policy  fulmarhedge.Policy
		valid   bool
		enabled bool
	}{
		{"zero value", fulmarhedge.Policy{}, true, false},
		{"none", fulmarhedge.NewPolicy(0), true, false},
		{"two percent", fulmarhedge.NewPolicy(0.02), true, true},
		{"negative share", fulmarhedge.NewPolicy(-0.1), false, false},
		{"share in percent", fulmarhedge.NewPolicy(2), false, true},
		{"share that is no number", fulmarhedge.NewPolicy(math.NaN()), false, false},
		{"quantile in percent", fulmarhedge.NewPolicy(0.02).WithQuantile(95), false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(c.policy.Check() == nil).To(Equal(c.valid))
			g.Expect(c.policy.Enabled()).To(Equal(c.enabled))
		})
	}
}

// Guards against more hedges than the operator's share of the requests, whatever order requests and late answers come in.
func TestShareOfRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0.001, 0.1).Draw(t, "share")
		h := learnt(fulmarhedge.NewPolicy(share))
		requests, hedges := 0, 0
		for range rapid.IntRange(1, 50).Draw(t, "spans") {
			n := rapid.IntRange(0, 200).Draw(t, "requests")
			requests += n
			for range n {
				h.RecordRequest()
			}
			hedges += taken(h, start, rapid.IntRange(0, 30).Draw(t, "late"))
			if float64(hedges) > share*float64(requests)+1e-6 {
				t.Fatalf("%d hedges for %d requests with a share of %g", hedges, requests, share)
			}
		}
	})
}

func TestHedger(t *testing.T) {
	policy := fulmarhedge.NewPolicy(0.1)

	// Guards against requests that are hedged before it is known how long answers take.
	t.Run("no delay before enough answers are known", func(t *testing.T) {
		g := NewWithT(t)
		h := fulmarhedge.New(policy)
		h.RecordAnswer("r", time.Second)
		_, ok := h.Delay("r")
		g.Expect(ok).To(BeFalse())
		_, ok = h.Delay("other")
		g.Expect(ok).To(BeFalse())
	})

	t.Run("delay is what nearly all answers take", func(t *testing.T) {
		g := NewWithT(t)
		h := fulmarhedge.New(policy)
		for i := range 1000 {
			took := 100 * time.Millisecond
			if i%50 == 0 { // 2%
				took = time.Second
			}
			h.RecordAnswer("r", took)
		}
		delay, ok := h.Delay("r")
		g.Expect(ok).To(BeTrue())
		g.Expect(delay).To(BeNumerically("~", 100*time.Millisecond, 10*time.Millisecond))
	})

	t.Run("hedges that are saved up are bounded", func(t *testing.T) {
		g := NewWithT(t)
		h := learnt(policy)
		for range 1000 {
			h.RecordRequest()
		}
		g.Expect(taken(h, start, 100)).To(Equal(4))
	})

	// Guards against hedges that take the room of requests while targets have too little of it.
	t.Run("none after a shortage", func(t *testing.T) {
		g := NewWithT(t)
		h := learnt(policy)
		for range 100 {
			h.RecordRequest()
		}
		h.RecordShortage(start, "s")
		g.Expect(h.Take(start.Add(900*time.Millisecond), "r", "s", time.Second)).To(Equal(fulmarhedge.NoRoom))
		g.Expect(h.Take(start.Add(900*time.Millisecond), "r", "other", time.Second)).To(Equal(fulmarhedge.Permitted))
		g.Expect(h.Take(start.Add(1100*time.Millisecond), "r", "s", time.Second)).To(Equal(fulmarhedge.Permitted))
	})

	// Guards against work that is done twice and whose answer comes too late in any case.
	t.Run("none when the time left is shorter than most answers take", func(t *testing.T) {
		g := NewWithT(t)
		h := learnt(policy)
		for range 100 {
			h.RecordRequest()
		}
		g.Expect(h.Take(start, "r", "s", 50*time.Millisecond)).To(Equal(fulmarhedge.TooLate))
		g.Expect(h.Take(start, "r", "s", 200*time.Millisecond)).To(Equal(fulmarhedge.Permitted))
	})

	t.Run("a hedge that was not sent is given back", func(t *testing.T) {
		g := NewWithT(t)
		h := learnt(policy)
		for range 15 {
			h.RecordRequest()
		}
		g.Expect(taken(h, start, 2)).To(Equal(1))
		h.Return()
		g.Expect(taken(h, start, 2)).To(Equal(1))
	})

	t.Run("forgets routes that are gone", func(t *testing.T) {
		g := NewWithT(t)
		h := learnt(policy)
		h.Retain(map[string]bool{"r": true})
		_, ok := h.Delay("r")
		g.Expect(ok).To(BeTrue())
		h.Retain(nil)
		_, ok = h.Delay("r")
		g.Expect(ok).To(BeFalse())
	})
}

// lossyLoad is a load in which answers take 60 to 300 ms, and some are lost, so that their callers wait until the deadline.
type lossyLoad struct {
	random   *rand.Rand
	lost     float64
	deadline time.Duration
}

// answer returns the time after which a send is answered.
func (l lossyLoad) answer() time.Duration {
	if l.random.Float64() < l.lost {
		return l.deadline
	}
	return time.Duration(60+240*l.random.Float64()) * time.Millisecond
}

// wait returns how long a request waits under a hedger, and whether it was sent twice.
func (l lossyLoad) wait(h *fulmarhedge.Hedger) (took time.Duration, twice bool) {
	h.RecordRequest()
	took = l.answer()
	if delay, ok := h.Delay("r"); ok && took > delay && h.Take(start, "r", "s", l.deadline-delay) == fulmarhedge.Permitted {
		took, twice = min(took, delay+l.answer(), l.deadline), true
	}
	if took < l.deadline {
		h.RecordAnswer("r", took)
	}
	return took, twice
}

// Replays a load with lost answers. Guards against hedges that do not reach the slowest answers, or that cost more than the limit.
func TestLostAnswers(t *testing.T) {
	g := NewWithT(t)
	const requests = 20_000
	waits := func(share float64) (atDeadline, twice int) {
		l := lossyLoad{rand.New(rand.NewPCG(1, 2)), 0.015, 1500 * time.Millisecond}
		h := fulmarhedge.New(fulmarhedge.NewPolicy(share))
		for range requests {
			took, again := l.wait(h)
			if took >= l.deadline {
				atDeadline++
			}
			if again {
				twice++
			}
		}
		return atDeadline, twice
	}
	without, none := waits(0)
	with, twice := waits(0.05)
	g.Expect(none).To(BeZero())
	g.Expect(without).To(BeNumerically(">", requests/100))
	g.Expect(with).To(BeNumerically("<", without/10), "callers that wait until their deadline")
	g.Expect(twice).To(BeNumerically("<=", requests/20))
}
