package fulmaraggregate_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmaraggregate"
	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
)

var start = time.Unix(1000, 0)

func report(id string, count int) *fulmarleaderrpc.Report {
	return &fulmarleaderrpc.Report{
		ID: id, Address: id, DC: "a", CPUShare: 0.2,
		Keys:    map[string][]fulmarleaderrpc.KeyCount{"board": {{Key: 7, Count: count}}},
		Targets: []fulmarleaderrpc.TargetLoad{{Target: "x", Answered: count, ResponseTime: time.Duration(count) * time.Second}},
	}
}

// Guards against load that is lost or counted twice on its way to the leader, and against daemons that seem to have reported
// later than they did.
func TestFill(t *testing.T) {
	g := NewWithT(t)
	a := fulmaraggregate.New()
	a.Add(start, report("b", 1))
	a.Add(start.Add(time.Second), report("c", 2))
	a.Add(start.Add(2*time.Second), report("c", 3))
	own := report("relay", 4)
	a.Fill(start.Add(3*time.Second), own)
	g.Expect(own.Keys).To(Equal(map[string][]fulmarleaderrpc.KeyCount{"board": {{Key: 7, Count: 10}}}))
	g.Expect(own.Targets).To(Equal([]fulmarleaderrpc.TargetLoad{{Target: "x", Answered: 10, ResponseTime: 10 * time.Second}}))
	g.Expect(own.Members).To(ConsistOf(
		fulmarleaderrpc.MemberReport{ID: "b", Address: "b", DC: "a", CPUShare: 0.2, Age: 3 * time.Second},
		fulmarleaderrpc.MemberReport{ID: "c", Address: "c", DC: "a", CPUShare: 0.2, Age: time.Second},
	))
	next := report("relay", 5)
	a.Fill(start.Add(4*time.Second), next)
	g.Expect(next).To(Equal(report("relay", 5)), "all has been sent")
}

// Guards against relays whose reports grow with the number of changes of the state: each report named all daemons that follow
// the relay, which was most of what the leader received.
func TestMembersAreNotRepeated(t *testing.T) {
	g := NewWithT(t)
	a := fulmaraggregate.New()
	fill := func(ms int) (out []fulmarleaderrpc.MemberReport, load int) {
		r := &fulmarleaderrpc.Report{ID: "relay"}
		a.Fill(start.Add(time.Duration(ms)*time.Millisecond), r)
		for _, l := range r.Targets {
			load += l.Answered
		}
		return r.Members, load
	}
	named, total := 0, 0
	for ms := 0; ms < 3000; ms += 60 {
		a.Add(start.Add(time.Duration(ms)*time.Millisecond), report("b", 1))
		members, load := fill(ms + 30)
		for _, m := range members {
			g.Expect(m.Age).To(Equal(30 * time.Millisecond))
		}
		named, total = named+len(members), total+load
	}
	g.Expect(total).To(Equal(50), "the load is sent at once")
	g.Expect(named).To(And(BeNumerically(">", 3*1000/200), BeNumerically("<=", 3*1000/150)))
	a.Add(start.Add(3010*time.Millisecond), report("b", 1))
	fill(3020)
	members, _ := fill(3170)
	g.Expect(members).To(HaveLen(1), "a daemon that was not named is named later")
	g.Expect(members[0].Age).To(Equal(160 * time.Millisecond))
	members, load := fill(4000)
	g.Expect(members).To(BeEmpty(), "no report since")
	g.Expect(load).To(BeZero())
}
