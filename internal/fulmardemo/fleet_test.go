package fulmardemo

import (
	"context"
	"io"
	"net/http/httptest"
	"path/filepath"
	"strings"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pelletier/go-toml/v2"

	"github.com/fulmarbend/fulmarbend/internal/fulmarplatform"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarconfig"
)

var _ = Describe("fleet", func() {
	// Guards against a first configuration or settings that no daemon can read.
	It("writes settings and puts the first configuration", func(ctx context.Context) {
		platform := httptest.NewServer(fulmarplatform.New(0))
		DeferCleanup(platform.Close)
		f := &fleet{deployment: deployments[0], platform: platform.Listener.Addr().String(), peerKey: secret(), adminKey: secret()}
		Expect(f.putConfig(ctx)).To(Succeed())
		Expect(f.putConfig(ctx)).NotTo(Succeed())

		resp, err := platform.Client().Get(platform.URL + "/v1/kv/fulmarbend/config?raw")
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		value, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		var v fulmarconfig.Versioned
		Expect(cbor.Unmarshal(value, &v)).To(Succeed())
		var config map[string]any
		Expect(toml.Unmarshal(v.Text, &config)).To(Succeed())
		Expect(config["service"]).To(HaveLen(3))

		f.members = []*member{{id: "a", control: "127.0.0.1:1"}, {id: "b", control: "127.0.0.1:2"}}
		var settings struct{ Peer struct{ Seeds []string } }
		Expect(toml.Unmarshal(f.settings(f.members[0]), &settings)).To(Succeed())
		Expect(settings.Peer.Seeds).To(Equal([]string{"127.0.0.1:2"}))
	})

	// Guards against processes that outlive the demonstration.
	It("ends the processes that it started", func() {
		d := New(Settings{}, io.Discard)
		p, err := d.spawn(filepath.Join(GinkgoT().TempDir(), "log"), "sleep", "60")
		Expect(err).NotTo(HaveOccurred())
		d.stopAll()
		Expect(p.done).To(BeClosed())
		Expect(strings.Contains(p.cmd.ProcessState.String(), "terminated")).To(BeTrue())
	})
})
