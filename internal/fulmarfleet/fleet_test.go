package fulmarfleet

import (
	"context"
	"io"
	"net/http/httptest"
	"path/filepath"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pelletier/go-toml/v2"

	"github.com/fulmarbend/fulmarbend/internal/fulmarplatform"
	"github.com/fulmarbend/fulmarbend/internal/fulmarprocess"
	"github.com/fulmarbend/fulmarbend/internal/fulmarsettings"
	"github.com/fulmarbend/fulmarbend/internal/fulmarstore"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarconfig"
)

var _ = Describe("Fleet", func() {
	// Guards against an initial configuration or daemon settings that cannot be
	// parsed.
	It("writes daemon settings and stores the initial configuration", func(ctx context.Context) {
		server := httptest.NewServer(fulmarplatform.New(0))
		DeferCleanup(server.Close)
		f := New(Settings{
			Name: "d", DataCentres: []string{"odda"}, Groups: []string{"g"}, DaemonCount: 2, UseForwarders: true,
			Services: []Service{{Name: "s", SlotCount: 4, Fenced: true}, {Name: "t", SlotCount: 4}, {Name: "u", SlotCount: 4}},
		})
		DeferCleanup(func() { f.Stop(0) })
		lasting, err := fulmarprocess.Start(filepath.Join(GinkgoT().TempDir(), "log"), nil, "sleep", "60")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(lasting.Kill)
		f.Platform = newPlatform(lasting, server.Listener.Addr().String())
		first := fulmarconfig.Versioned{Version: 1, OperationID: "o", Author: "a", Text: f.InitialConfig()}
		Expect(f.Platform.PutConfig(ctx, first)).To(Succeed())
		Expect(f.Platform.PutConfig(ctx, first)).To(MatchError(fulmarstore.ErrConflict))

		resp, err := server.Client().Get(server.URL + "/v1/kv/fulmarbend/config?raw")
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		value, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		var v fulmarconfig.Versioned
		Expect(cbor.Unmarshal(value, &v)).To(Succeed())
		var config map[string]any
		Expect(toml.Unmarshal(v.Text, &config)).To(Succeed())
		Expect(config["service"]).To(HaveLen(3))

		Expect(f.prepareDaemons(ctx)).To(Succeed())
		settings, err := fulmarsettings.Parse(f.daemonSettings(f.Daemons[0]))
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.Peer.Seeds).To(Equal([]string{f.Daemons[1].peerControlAddress}))
		Expect(settings.Advertise.Source.String()).To(Equal("127.0.1.1"))
	})

	// Guards against processes that outlive the fleet, also when they are frozen
	// by SIGSTOP.
	It("ends the processes that it started", func() {
		var l processes
		p, err := l.spawn(filepath.Join(GinkgoT().TempDir(), "log"), "sleep", "60")
		Expect(err).NotTo(HaveOccurred())
		frozen, err := l.spawn(filepath.Join(GinkgoT().TempDir(), "log"), "sleep", "60")
		Expect(err).NotTo(HaveOccurred())
		frozen.Freeze()
		l.stop(5 * time.Second)
		Expect(p.Done()).To(BeClosed())
		Expect(frozen.Done()).To(BeClosed())
		Expect(p.ExitStatus()).To(ContainSubstring("terminated"))
		Expect(frozen.ExitStatus()).To(ContainSubstring("terminated"))
	})
})
