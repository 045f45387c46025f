package fulmardemo

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarfleet"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarconfig"
)

var _ = Describe("deployments", func() {
	// Guards against an initial configuration that daemons reject, or that omits a service or group.
	It("have a valid initial configuration", func() {
		for i, d := range deployments {
			f := New(Settings{DaemonsPerDeployment: 1}, GinkgoWriter).newFleet(i, d, GinkgoT().TempDir(), fulmarfleet.Programs{})
			config, err := fulmarconfig.Parse(f.InitialConfig())
			Expect(err).NotTo(HaveOccurred())
			Expect(config.Services()).To(HaveLen(len(d.services)))
			for _, g := range d.groups {
				_, known := config.Limits(d.services[0].Name, g)
				Expect(known).To(BeTrue(), g)
			}
		}
	})
})
