package fulmarkvmonitor_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarkvmonitor"
	"github.com/fulmarbend/fulmarbend/internal/fulmarmemory"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
)

// Guards against an outcome of a call that does not count: refusals of a store show that it answers, rejections and missing
// answers do not.
func TestOutageEnd(t *testing.T) {
	expectOutage := func(name string, call func(s *fulmarkvmonitor.Store) error, outage bool) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				client := fulmarmemory.NewClient(fulmarmemory.New(time.Now))
				s := fulmarkvmonitor.New(client, time.Now)
				began := time.Now()
				for time.Since(began) < 2*time.Second {
					client.SetFault(fulmarmemory.Rejected)
					_, err := s.Scan(t.Context(), "")
					g.Expect(err).To(HaveOccurred())
					client.SetFault(fulmarmemory.NoFault)
					if call != nil {
						_ = call(s)
					}
					time.Sleep(200 * time.Millisecond)
				}
				_, err := s.Scan(t.Context(), "")
				g.Expect(err).NotTo(HaveOccurred())
				if outage {
					g.Expect(s.OutageEnd()).To(Equal(time.Now()))
				} else {
					g.Expect(s.OutageEnd()).To(BeZero())
				}
			})
		})
	}
	expectOutage("no call is answered", nil, true)
	expectOutage("a read", func(s *fulmarkvmonitor.Store) error {
		_, _, err := s.ReadStale(t.Context(), "x")
		return err
	}, false)
	expectOutage("a lease", func(s *fulmarkvmonitor.Store) error {
		_, err := s.CreateLease(t.Context(), time.Second)
		return err
	}, false)
	expectOutage("a refused renewal", func(s *fulmarkvmonitor.Store) error { return s.RenewLease(t.Context(), 99) }, false)
	expectOutage("a refused transaction", func(s *fulmarkvmonitor.Store) error {
		_, err := s.Commit(t.Context(), fulmarkv.Txn{Conditions: []fulmarkv.Condition{{Key: "x", Revision: 5}}})
		return err
	}, false)
	expectOutage("the end of a lease", func(s *fulmarkvmonitor.Store) error { return s.RevokeLease(t.Context(), 99) }, false)
}
