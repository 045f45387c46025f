package fulmarrecovery_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarera"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrecovery"
)

type ignored struct{}

func (ignored) EraRejected(string)                    {}
func (ignored) EraBegan(fulmarera.Era, fulmarera.Era) {}

// eraOf returns the state of a daemon that has seen the eras in turn.
func eraOf(eras ...fulmarera.Era) *fulmarera.Tracker {
	t := fulmarera.New(ignored{}, func() time.Time { return time.Unix(1000, 0) })
	for _, e := range eras {
		_ = t.Adopt(e)
	}
	return t
}

// Guards against a leader that acts on tables of a former era, or on a memory that is not complete, and against one that waits where
// nothing was lost.
func TestChoose(t *testing.T) {
	now := time.Unix(1000, 0)
	writer, _ := fulmarera.NewRevision(4, 70)
	unknown, _ := fulmarera.NewRevision(4, 60)
	present, _ := fulmarera.NewRevision(5, 60)
	memory := &fulmarrecovery.Memory{Era: 5, Writers: []fulmarera.Revision{writer}}
	for _, c := range []struct {
		name   string
		eras   *fulmarera.Tracker
		writer fulmarera.Revision
		memory *fulmarrecovery.Memory
		want   fulmarrecovery.Basis
	}{
		{"a store without eras", nil, 70, nil, fulmarrecovery.Stored},
		{"a store without eras and tables", nil, 0, nil, fulmarrecovery.Stored},
		{"no tables, and not the first start", eraOf(5), 0, nil, fulmarrecovery.Held},
		{"tables of an earlier build", eraOf(5), 70, nil, fulmarrecovery.Stored},
		{"tables of this era", eraOf(4, 5), present, memory, fulmarrecovery.Stored},
		{"tables that the former leader knows", eraOf(4, 5), writer, memory, fulmarrecovery.Remembered},
		{"a copy from before the first tables, with memory", eraOf(4, 5), 0, memory, fulmarrecovery.Remembered},
		{"tables that the former leader does not know", eraOf(4, 5), unknown, memory, fulmarrecovery.Held},
		{"memory of an era before the last restore", eraOf(4, 5, 6), writer, memory, fulmarrecovery.Held},
		{"a daemon that was started after the restore", eraOf(5), writer, nil, fulmarrecovery.Held},
		{"a copy from before the first tables, without memory", eraOf(4, 5), 0, nil, fulmarrecovery.Held},
		{"tables of an earlier build after a restore", eraOf(4, 5), 70, nil, fulmarrecovery.Held},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			start := fulmarrecovery.Start{Era: c.eras.Current(), Writer: c.writer, Memory: c.memory, LeaseTTL: time.Second, MaxHold: 10 * time.Second}
			basis, until := start.Choose(now)
			g.Expect(basis).To(Equal(c.want))
			if basis == fulmarrecovery.Held {
				g.Expect(until).To(Equal(now.Add(11 * time.Second)))
				_, until = start.Choose(now.Add(5 * time.Second))
				g.Expect(until).To(Equal(now.Add(15 * time.Second)))
				start.Led = now.Add(3 * time.Second) // by another leader, which has not written the tables
				_, until = start.Choose(now.Add(5 * time.Second))
				g.Expect(until).To(Equal(now.Add(13 * time.Second)))
			}
		})
	}
}

// Guards against a fleet that refuses requests for keys for 11 s at its first start, and against a daemon that takes a copy from before
// the first tables for one: targets had two owners after all daemons had been killed.
func TestChooseAtFirstStart(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	start := fulmarrecovery.Start{Era: eraOf(5).Current(), LeaseTTL: time.Second, MaxHold: 10 * time.Second, First: true}
	basis, _ := start.Choose(now)
	g.Expect(basis).To(Equal(fulmarrecovery.Stored))
	start.Era = eraOf(4, 5).Current()
	basis, _ = start.Choose(now)
	g.Expect(basis).To(Equal(fulmarrecovery.Held), "it has seen the restore")
	start.Era, start.First = eraOf(5).Current(), false
	basis, _ = start.Choose(now)
	g.Expect(basis).To(Equal(fulmarrecovery.Held))
}

// Guards against a leader that believes to have been the last one although another was elected, or may have been.
func TestIsLast(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	tracker := eraOf(4)
	era := tracker.Current()
	g.Expect(fulmarrecovery.IsLast(era, 5, now, now.Add(time.Second))).To(BeFalse(), "era goes on")
	_ = tracker.Adopt(5)
	g.Expect(fulmarrecovery.IsLast(era, 5, now, now.Add(time.Second))).To(BeTrue())
	g.Expect(fulmarrecovery.IsLast(era, 5, now, now)).To(BeFalse(), "lease has ended")
	g.Expect(fulmarrecovery.IsLast(era, 6, now, now.Add(time.Second))).To(BeFalse(), "an era was missed")
}
