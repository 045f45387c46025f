package fulmarfleet

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pelletier/go-toml/v2"

	"github.com/fulmarbend/fulmarbend/internal/fulmarplatform"
	"github.com/fulmarbend/fulmarbend/internal/fulmarsettings"
	"github.com/fulmarbend/fulmarbend/internal/fulmarstore"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarconfig"
)

var _ = Describe("Fleet", func() {
	// Guards against a first configuration or settings that no daemon can read.
	It("writes settings and puts the first configuration", func(ctx context.Context) {
		server := httptest.NewServer(fulmarplatform.New(0))
		DeferCleanup(server.Close)
		f := New(Settings{
			Name: "d", Centres: []string{"odda"}, Groups: []string{"g"}, Daemons: 2, Forward: true,
			Services: []Service{{Name: "s", Slots: 4, Fenced: true}, {Name: "t", Slots: 4}, {Name: "u", Slots: 4}},
		})
		DeferCleanup(func() { f.Stop(0) })
		ended := make(chan struct{})
		f.Platform = newPlatform(&Process{done: ended}, server.Listener.Addr().String())
		first := fulmarconfig.Versioned{Version: 1, Operation: "o", Author: "a", Text: f.Config()}
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

		Expect(f.planDaemons(ctx)).To(Succeed())
		settings, err := fulmarsettings.Parse(f.daemonSettings(f.Daemons[0]))
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.Peer.Seeds).To(Equal([]string{f.Daemons[1].peerControl}))
		Expect(settings.Advertise.Source.String()).To(Equal("127.0.1.1"))
	})

	// Guards against processes that outlive the fleet, frozen ones included.
	It("ends the processes that it started", func() {
		var l processes
		p, err := l.spawn(filepath.Join(GinkgoT().TempDir(), "log"), "sleep", "60")
		Expect(err).NotTo(HaveOccurred())
		frozen, err := l.spawn(filepath.Join(GinkgoT().TempDir(), "log"), "sleep", "60")
		Expect(err).NotTo(HaveOccurred())
		frozen.Freeze()
		l.stop(5 * time.Second)
		Expect(p.Done()).To(BeClosed())
		Expect(p.cmd.ProcessState.String()).To(ContainSubstring("terminated"))
		Expect(frozen.cmd.ProcessState.String()).To(ContainSubstring("terminated"))
	})
})

var _ = Describe("Network", func() {
	var (
		n      *Network
		client *http.Client
		url    string
		ended  chan struct{}
	)
	BeforeEach(func(ctx context.Context) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }))
		DeferCleanup(server.Close)
		n = newNetwork()
		DeferCleanup(n.close)
		n.know("127.0.1.1", "a")
		n.know("127.0.1.2", "b")
		address, err := freeAddress(ctx)
		Expect(err).NotTo(HaveOccurred())
		ended = make(chan struct{})
		Expect(n.forward("t", address, server.Listener.Addr().String(), ended)).To(Succeed())
		client, url = from("127.0.1.1"), "http://"+address
	})

	// Guards against faults that reach another pair, or that outlast their end.
	It("breaks the connections of one pair and restores them", func() {
		expectAnswer(client, url)
		n.Set(Refuse, "t", "a")
		expectNoAnswer(client, url, time.Second)
		expectAnswer(from("127.0.1.2"), url)
		n.Restore()
		expectAnswer(client, url)
	})

	// Guards against a cut that the sender notices, and against bytes that are lost by it.
	It("holds bytes back and delivers them late", func() {
		expectAnswer(client, url)
		n.Set(Swallow, "a", "t")
		expectNoAnswer(client, url, 100*time.Millisecond)
		answers := make(chan error, 1)
		go func() { answers <- get(client, url, 5*time.Second) }()
		Consistently(answers, "100ms").ShouldNot(Receive())
		n.Restore()
		Eventually(answers, "5s").Should(Receive(BeNil()))
	})

	// Guards against a lost server that still seems to accept connections.
	It("refuses connections to a server that has ended", func() {
		close(ended)
		// A request that is accepted just before the listener closes leaves a connection to a server that the test
		// keeps running, so each request opens one of its own.
		Eventually(func() error { return get(from("127.0.1.1"), url, time.Second) }, "5s").Should(MatchError(ContainSubstring("refused")))
	})
})

func from(source string) *http.Client {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}}
}

func get(client *http.Client, url string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return err
}

func expectAnswer(client *http.Client, url string) {
	GinkgoHelper()
	Expect(get(client, url, 5*time.Second)).To(Succeed())
}

func expectNoAnswer(client *http.Client, url string, timeout time.Duration) {
	GinkgoHelper()
	Expect(get(client, url, timeout)).NotTo(Succeed())
}
