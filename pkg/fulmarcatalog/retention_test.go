package fulmarcatalog_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
)

// Guards against requests to targets that left long ago: a daemon whose read failed once and that followed a leader since
// took the whole time for an outage.
func TestRemovalAfterOldFailure(t *testing.T) {
	g := NewWithT(t)
	tracker := fulmarcatalog.NewTracker()
	both := []fulmarcatalog.Target{target("a", false), target("b", false)}
	catalog := tracker.Read(start, both, nil, time.Time{})
	tracker.Failed(at(time.Second))
	catalog = tracker.Read(at(10*time.Second), both[:1], catalog, at(9*time.Second))
	_, ok := catalog.Target("b")
	g.Expect(ok).To(BeFalse())
}
