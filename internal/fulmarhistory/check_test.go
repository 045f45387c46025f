package fulmarhistory_test

import (
	"bytes"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarhistory"
)

type (
	event = fulmarhistory.Event
	call  = fulmarhistory.Call
)

func grantEvent(target string, at, lapse int64, slots ...int) event {
	return event{Kind: "grant", Target: target, Service: "s", Fenced: true, UnixNanos: at, Lapse: lapse, Slots: slots}
}

func executionEvent(kind, target, id string, at int64) event {
	return event{Kind: kind, Target: target, Service: "s", ID: id, UnixNanos: at, Serial: uint64(at / 10)}
}

// keyedEvent returns an event of an execution for the key k on a fenced target.
func keyedEvent(kind, target string, at int64, serial uint64, slot int) event {
	return event{Kind: kind, Target: target, Service: "s", Fenced: true, Key: "k", ID: "1", UnixNanos: at, Serial: serial, Slot: slot}
}

func withEpoch(epoch uint64, e event) event {
	e.Epoch = epoch
	return e
}

func newCall(id, outcome string, start, end int64) call {
	return call{ID: id, AtMostOnce: true, Outcome: outcome, Start: start, End: end, AnswerID: id, Key: "k", Service: "s", Kind: "short"}
}

func newSample(daemon string, incarnation uint64, at int64, config uint64, refusing bool) fulmarhistory.VersionSample {
	return fulmarhistory.VersionSample{Daemon: daemon, Incarnation: incarnation, RequestedAt: at, AnsweredAt: at + 1, Version: config, RefusesCallers: refusing}
}

var _ = Describe("Check", func() {
	// Guards against a rule that accepts an invalid history or rejects a valid one.
	DescribeTable("counts violations",
		func(events []event, calls []call, doubled, refused, broken, owners int) {
			r := fulmarhistory.Check(events, calls)
			Expect(r.DuplicateExecutions).To(HaveLen(doubled))
			Expect(r.RefusedExecutions).To(HaveLen(refused))
			Expect(r.InvalidAnswers).To(HaveLen(broken))
			Expect(r.SlotOwnerConflicts).To(HaveLen(owners))
		},
		Entry("sound run", []event{executionEvent("start", "a", "1", 10), executionEvent("commit", "a", "1", 19)},
			[]call{newCall("1", "served", 5, 25)}, 0, 0, 0, 0),
		Entry("two starts", []event{executionEvent("start", "a", "1", 10), executionEvent("start", "a", "1", 20)},
			[]call{newCall("1", "unknown", 5, 25)}, 1, 0, 0, 0),
		Entry("start after refusals only", []event{executionEvent("start", "a", "1", 10)},
			[]call{newCall("1", "not-run", 5, 25)}, 0, 1, 0, 0),
		Entry("start before the attempt that may run", []event{executionEvent("start", "a", "1", 10)},
			[]call{newCall("1", "not-run", 5, 25), newCall("1", "unknown", 10+2e6, 10+3e6)}, 0, 1, 0, 0),
		Entry("start that another clock dates before the only attempt", []event{executionEvent("start", "a", "1", 10), executionEvent("commit", "a", "1", 19)},
			[]call{newCall("1", "served", 10+1e5, 10+2e5)}, 0, 0, 0, 0),
		Entry("run by a later attempt", []event{executionEvent("start", "a", "1", 35), executionEvent("commit", "a", "1", 36)},
			[]call{newCall("1", "not-run", 5, 25), newCall("1", "served", 30, 40)}, 0, 0, 0, 0),
		Entry("served without a commit", nil, []call{newCall("1", "served", 5, 25)}, 0, 0, 1, 0),
		Entry("truncated answer", []event{executionEvent("commit", "a", "1", 10)},
			[]call{{ID: "1", Outcome: "served", WantLength: 2, Length: 1, AnswerID: "1"}}, 0, 0, 1, 0),
		Entry("answer of another request", []event{executionEvent("commit", "a", "1", 10)},
			[]call{{ID: "1", Outcome: "served", AnswerID: "2"}}, 0, 0, 1, 0),
		Entry("overlapping grants", []event{grantEvent("a", 10, 30, 1, 2), grantEvent("b", 29, 50, 2)}, nil, 0, 0, 0, 1),
		Entry("grant after a lapse", []event{grantEvent("a", 10, 30, 1), grantEvent("b", 30, 50, 1)}, nil, 0, 0, 0, 0),
		Entry("grant after a release", []event{
			grantEvent("a", 10, 30, 1), grantEvent("a", 15, 40), grantEvent("b", 16, 50, 1),
		}, nil, 0, 0, 0, 0),
		Entry("grant after a restart", []event{
			grantEvent("a", 10, 30, 1), {Kind: "up", Target: "a", Fenced: true, UnixNanos: 12}, grantEvent("b", 13, 50, 1),
		}, nil, 0, 0, 0, 0),
		Entry("overlapping runs without a fence", []event{
			executionEvent("start", "a", "1", 10), executionEvent("start", "b", "2", 15), executionEvent("commit", "b", "2", 17), executionEvent("commit", "a", "1", 19),
		}, nil, 0, 0, 0, 1),
	)

	// Guards against a key rule that misses conflicts between different slots of one
	// key, and against one that rejects a valid move.
	DescribeTable("finds keys with two owners",
		func(events []event, keys, owners int) {
			r := fulmarhistory.Check(events, nil)
			Expect(r.KeyOwnerConflicts).To(HaveLen(keys), "%v", r.Violations())
			Expect(r.SlotOwnerConflicts).To(HaveLen(owners), "%v", r.Violations())
			Expect(r.OK()).To(Equal(keys+owners == 0), "%v", r.Violations())
		},
		Entry("move to another target", []event{
			withEpoch(1, grantEvent("a", 1, 20, 5)), keyedEvent("start", "a", 10, 1, 5), keyedEvent("commit", "a", 19, 1, 5),
			withEpoch(3, grantEvent("b", 20, 50, 5)), keyedEvent("start", "b", 21, 1, 5), keyedEvent("commit", "b", 29, 1, 5),
		}, 0, 0),
		Entry("hot key that is still served by its plain slot", []event{
			withEpoch(1, grantEvent("a", 1, 90, 5)), withEpoch(1, grantEvent("b", 2, 90, 70)),
			keyedEvent("start", "a", 10, 1, 5), keyedEvent("start", "b", 15, 1, 70), keyedEvent("commit", "a", 19, 1, 5), keyedEvent("commit", "b", 29, 1, 70),
		}, 1, 0),
		Entry("hot key that is served by its plain slot in turns", []event{
			withEpoch(4, grantEvent("a", 1, 90, 5)), withEpoch(4, grantEvent("b", 2, 90, 70)),
			keyedEvent("start", "a", 10, 1, 5), keyedEvent("commit", "a", 11, 1, 5), keyedEvent("start", "b", 15, 1, 70), keyedEvent("commit", "b", 29, 1, 70),
		}, 1, 0),
		Entry("return to an owner that has the older table", []event{
			withEpoch(1, grantEvent("a", 1, 90, 5)), keyedEvent("start", "a", 10, 1, 5), keyedEvent("commit", "a", 11, 1, 5),
			withEpoch(3, grantEvent("b", 12, 90, 70)), keyedEvent("start", "b", 15, 1, 70), keyedEvent("commit", "b", 29, 1, 70),
			keyedEvent("start", "a", 40, 2, 5), keyedEvent("commit", "a", 41, 2, 5),
		}, 1, 0),
		Entry("execution of a frozen target that the fence undid", []event{
			withEpoch(1, grantEvent("a", 1, 20, 5)), keyedEvent("start", "a", 10, 1, 5),
			withEpoch(3, grantEvent("b", 20, 50, 5)), keyedEvent("start", "b", 21, 1, 5), keyedEvent("commit", "b", 29, 1, 5), keyedEvent("abort", "a", 40, 1, 5),
		}, 0, 0),
		Entry("overlap on targets without a fence, in two slots", []event{
			{Kind: "start", Target: "a", Service: "s", Key: "k", UnixNanos: 10, Serial: 1, Slot: 5},
			{Kind: "start", Target: "b", Service: "s", Key: "k", UnixNanos: 15, Serial: 1, Slot: 70},
			{Kind: "abort", Target: "a", Service: "s", Key: "k", UnixNanos: 20, Serial: 1, Slot: 5},
			{Kind: "commit", Target: "b", Service: "s", Key: "k", UnixNanos: 25, Serial: 1, Slot: 70},
		}, 1, 0),
	)

	// Guards against a simulated target whose fence accepts orders without a grant,
	// which would hide faults of the daemons.
	DescribeTable("finds work without a grant",
		func(unfenced int, events ...event) {
			Expect(fulmarhistory.Check(events, nil).UngrantedExecutions).To(HaveLen(unfenced))
		},
		Entry("no grant", 1, keyedEvent("start", "a", 10, 1, 5)),
		Entry("another slot", 1, grantEvent("a", 1, 20, 6), keyedEvent("start", "a", 10, 1, 5)),
		Entry("lapsed at the commit", 1, grantEvent("a", 1, 20, 5), keyedEvent("start", "a", 10, 1, 5), keyedEvent("commit", "a", 20, 1, 5)),
		Entry("grant of a former process", 1, grantEvent("a", 1, 20, 5), event{Kind: "up", Target: "a", Fenced: true, UnixNanos: 5}, keyedEvent("start", "a", 10, 1, 5)),
		Entry("another term", 1, grantEvent("a", 1, 20, 5), event{Kind: "start", Target: "a", Fenced: true, Slot: 5, UnixNanos: 10, Term: 7}),
		Entry("sound", 0, grantEvent("a", 1, 20, 5), keyedEvent("start", "a", 10, 1, 5), keyedEvent("commit", "a", 19, 1, 5)),
	)

	// Guards against missing a second execution on another target whose caller was
	// killed before it logged its call.
	It("checks ids that no caller logged", func() {
		r := fulmarhistory.Check([]event{executionEvent("start", "a", "2", 10), executionEvent("start", "b", "2", 20)}, []call{newCall("1", "not-run", 5, 25)})
		Expect(r.DuplicateExecutions).To(ConsistOf(ContainSubstring("2 starts by [a b]")))
	})

	// Guards against accepting an answer that was sent before the execution committed.
	It("finds an answer before its commit", func() {
		r := fulmarhistory.Check([]event{executionEvent("start", "a", "1", 10), executionEvent("commit", "a", "1", 40)}, []call{newCall("1", "served", 5, 25)})
		Expect(r.InvalidAnswers).To(HaveLen(1))
	})

	// Guards against missing an outage.
	It("finds the longest time without service", func() {
		calls := []call{
			newCall("1", "served", 0, 5), newCall("2", "unknown", 10, 20),
			newCall("3", "not-run", 30, 40), newCall("4", "served", 45, 50),
		}
		Expect(fulmarhistory.LongestGap(calls, 1).Length).To(Equal(time.Duration(40)))
		Expect(fulmarhistory.LongestGap(calls, 5).Length).To(BeZero())
	})

	// Guards against missing an outage that shows only in late answers or at the end of
	// the log, and against reporting a single lost call as an outage.
	DescribeTable("measures the time without service",
		func(want time.Duration, open bool, calls ...call) {
			g := fulmarhistory.LongestGap(calls, 1)
			Expect(g.Length).To(Equal(want))
			Expect(g.Ongoing).To(Equal(open))
		},
		Entry("late answer", 90*time.Nanosecond, false, newCall("1", "served", 0, 5), newCall("2", "served", 10, 100)),
		Entry("late answer of a call in flight", 95*time.Nanosecond, false, newCall("1", "served", 3, 5), newCall("2", "served", 4, 100)),
		Entry("not served to the end", 40*time.Nanosecond, true, newCall("1", "served", 0, 5), newCall("2", "unknown", 10, 20), newCall("3", "not-run", 30, 50)),
		Entry("never served", 40*time.Nanosecond, true, newCall("2", "unknown", 10, 20), newCall("3", "not-run", 30, 50)),
		Entry("one lost call beside served ones", 10*time.Nanosecond, false,
			newCall("1", "served", 0, 5), newCall("2", "unknown", 4, 90), newCall("3", "served", 10, 20), newCall("4", "served", 80, 85), newCall("5", "served", 91, 95)),
	)

	// Guards against missing a configuration that reverts or takes effect too late.
	DescribeTable("checks that a configuration takes effect in time",
		func(want string, versions ...fulmarhistory.VersionSample) {
			got := fulmarhistory.CheckConfigVersions(versions, []fulmarhistory.AcceptedConfig{{Version: 2, AcceptedAt: 100}}, 50)
			if want == "" {
				Expect(got).To(BeEmpty())
				return
			}
			Expect(got).To(ConsistOf(ContainSubstring(want)))
		},
		Entry("in time", "", newSample("a", 1, 90, 1, false), newSample("a", 1, 150, 1, false), newSample("a", 1, 151, 2, false)),
		Entry("late", "version 1 in force 51ns", newSample("a", 1, 151, 1, false)),
		Entry("late but refusing callers", "", newSample("a", 1, 151, 1, true)),
		Entry("reverted", "version 1 after 2", newSample("a", 1, 110, 2, false), newSample("a", 1, 120, 1, false)),
		Entry("reverted while refusing callers", "version 1 after 2", newSample("a", 1, 110, 2, false), newSample("a", 1, 200, 1, true)),
		Entry("another incarnation", "", newSample("a", 1, 110, 2, false), newSample("a", 2, 120, 1, false)),
	)

	// Guards against missing executions that a leaving target starts.
	It("lists the executions that a target started after a given time", func() {
		events := []event{executionEvent("start", "a", "1", 10), executionEvent("start", "a", "2", 20), executionEvent("commit", "a", "2", 21), executionEvent("start", "b", "3", 30)}
		Expect(fulmarhistory.StartsAfter(events, "a", time.Unix(0, 15))).To(Equal([]event{events[1]}))
	})

	// Guards against failing the whole check because a killed writer left an incomplete last line.
	It("reads back what was appended, without an unfinished line", func() {
		var file bytes.Buffer
		Expect(fulmarhistory.New(&file).Append(grantEvent("a", 1, 2, 3))).To(Succeed())
		file.WriteString(`{"kind":"gr`)
		got, err := fulmarhistory.Read[event](nil, &file)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal([]event{grantEvent("a", 1, 2, 3)}))
	})
})
