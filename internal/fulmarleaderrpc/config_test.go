package fulmarleaderrpc_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarroute"
)

// large returns a configuration of 3,000 routes.
func large() fulmarroute.Config {
	c := fulmarroute.Config{Version: 7, Services: []fulmarroute.Service{{Name: "s"}}}
	for i := range 3000 {
		c.Routes = append(c.Routes, fulmarroute.Route{
			Name: fmt.Sprintf("route-%d", i), Host: fmt.Sprintf("host-%d.example", i%50), Prefix: fmt.Sprintf("/%d/", i),
			Timeout: time.Second, Attempts: 2, Parts: []fulmarroute.Part{{Service: "s", Weight: 1}},
		})
	}
	return c
}

// Guards against configurations so large that daemons time out: sending one of 1,456 routes to 145 daemons took the
// leader's link longer than they wait for an answer.
func TestPacked(t *testing.T) {
	g := NewWithT(t)
	packed, err := fulmarleaderrpc.PackConfig(large())
	g.Expect(err).NotTo(HaveOccurred())
	got, err := packed.Unpack()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(large()))
	g.Expect(len(packed)).To(BeNumerically("<", 60<<10))
	_, err = packed[:len(packed)/2].Unpack()
	g.Expect(err).To(HaveOccurred())
}
