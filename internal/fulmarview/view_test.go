package fulmarview_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarroute"
)

// routes returns the routing of an empty configuration of the given version.
func routes(g Gomega, version uint64) *fulmarroute.Table {
	table, err := fulmarroute.New(fulmarroute.Config{Version: version})
	g.Expect(err).NotTo(HaveOccurred())
	return table
}

// Guards against an older configuration, or an earlier time, that replaces a newer one.
func TestVersionsNeverFall(t *testing.T) {
	g := NewWithT(t)
	v, now := fulmarview.New(), time.Unix(1000, 0)
	set := func(table *fulmarroute.Table, asOf time.Time) {
		v.Update(func(v *fulmarview.View) { v.Routes, v.AsOf = table, asOf })
	}
	set(routes(g, 3), now)
	set(routes(g, 2), now.Add(-time.Second))
	g.Expect(v.Get().Routes.Version()).To(BeEquivalentTo(3))
	g.Expect(v.Get().AsOf).To(Equal(now))
	set(nil, now)
	g.Expect(v.Get().Routes.Version()).To(BeEquivalentTo(3))
	set(routes(g, 4), now)
	g.Expect(v.Get().Routes.Version()).To(BeEquivalentTo(4))
}
