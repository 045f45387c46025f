package fulmaradmin_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmaradmin"
	"github.com/fulmarbend/fulmarbend/internal/fulmarstore"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarconfig"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

var key = []byte("0123456789abcdef")

const text = `[[service]]
name = "rota-board"
slots = 4
[[group]]
name = "north"
[[exception]]
name = "north"
group = "north"
weight = 2
reason = "contract"
[[drain]]
target = "t1"
reason = "disk"
`

// fakeDaemon is a Daemon whose n-th put returns putErrs[n] and takes effect if takesEffect[n]; puts beyond these
// succeed.
type fakeDaemon struct {
	stored      fulmarconfig.Versioned
	table       fulmarslot.Table
	putErrs     []error
	takesEffect []bool
	puts        int
	lifted      []uint64
	confirmed   []string
}

func (f *fakeDaemon) Status() fulmaradmin.Status {
	return fulmaradmin.Status{Instance: "odda-1", ConfigVersion: f.stored.Version, StoreState: fulmaradmin.StoreUp, Members: []fulmaradmin.Member{
		{ID: "odda-1", State: "live", ConfigVersion: f.stored.Version}, {ID: "odda-2", State: "down"},
	}}
}
func (f *fakeDaemon) Table() fulmarslot.Table           { return f.table }
func (f *fakeDaemon) Versioned() fulmarconfig.Versioned { return f.stored }
func (f *fakeDaemon) Holder(target string) (fulmarslot.Member, bool) {
	return fulmarslot.Member{ID: "holder-of-" + target}, true
}
func (f *fakeDaemon) Confirm(member string)   { f.confirmed = append(f.confirmed, member) }
func (f *fakeDaemon) Lift(fingerprint uint64) { f.lifted = append(f.lifted, fingerprint) }

func (f *fakeDaemon) PutConfig(_ context.Context, v fulmarconfig.Versioned, base uint64) error {
	i := f.puts
	f.puts++
	if f.stored.Version != base {
		return &fulmaradmin.ConflictError{Current: f.stored}
	}
	if i >= len(f.putErrs) || f.takesEffect[i] {
		f.stored = v
	}
	if i < len(f.putErrs) {
		return f.putErrs[i]
	}
	return nil
}

func newFakeDaemon() *fakeDaemon {
	table := fulmarslot.New(map[string]int{"rota-board": 4})
	table, err := table.With(
		fulmarslot.PutTarget(fulmarslot.Target{ID: "t1", Service: "rota-board", Address: "127.0.0.1:1", Fenced: true}),
		fulmarslot.PutMember(fulmarslot.Member{ID: "odda-1", Incarnation: 1}), fulmarslot.PutMember(fulmarslot.Member{ID: "odda-2", Incarnation: 1}),
		fulmarslot.PutQuarantine(fulmarslot.Quarantine{Fingerprint: 0xab, Condemned: true, Until: time.Now().Add(time.Hour)}),
	)
	Expect(err).NotTo(HaveOccurred())
	for slot := range 4 {
		table, err = table.With(fulmarslot.Assign("rota-board", slot, "t1"))
		Expect(err).NotTo(HaveOccurred())
	}
	return &fakeDaemon{table: table, stored: fulmarconfig.Versioned{Version: 3, OperationID: "op3", Author: "ann", Text: []byte(text)}}
}

func expectStatus(err error, status int) fulmaradmin.Error {
	GinkgoHelper()
	var e *fulmaradmin.Error
	Expect(errors.As(err, &e)).To(BeTrue(), "%v", err)
	Expect(e.Status).To(Equal(status), e.Message)
	return *e
}

var _ = Describe("API", func() {
	var (
		daemon *fakeDaemon
		client *fulmaradmin.Client
		ctx    = context.Background()
		next   = strings.Replace(text, "weight = 2", "weight = 3", 1)
	)
	BeforeEach(func() {
		daemon = newFakeDaemon()
		server := httptest.NewServer(fulmaradmin.New(daemon, key))
		DeferCleanup(server.Close)
		client = fulmaradmin.NewClient([]string{strings.TrimPrefix(server.URL, "http://")}, key, server.Client())
	})
	put := func(base uint64, operation string) (fulmaradmin.PutResult, error) {
		return client.PutConfig(ctx, fulmaradmin.PutRequest{BaseVersion: base, OperationID: operation, Author: "bo", Text: next})
	}

	// Guards against an explanation that is inconsistent with the table or the configuration.
	It("explains a key", func() {
		e, err := client.Explain(ctx, "rota-board", "k", "north")
		Expect(err).NotTo(HaveOccurred())
		Expect(e.Owner).To(Equal("t1"))
		Expect(e.Dispatcher).To(Equal("holder-of-t1"))
		Expect(e.ConfigVersion).To(Equal(uint64(3)))
		Expect(e.Epoch).To(Equal(daemon.table.Epoch()))
		Expect(e.Limits.Source).To(HaveKeyWithValue("weight", "exception north: contract"))
		_, err = client.Explain(ctx, "rota-board", "k", "west")
		expectStatus(err, http.StatusNotFound)
		_, err = client.Explain(ctx, "pay-desk", "k", "")
		expectStatus(err, http.StatusNotFound)
	})

	// Guards against responses that omit drains, owners or members.
	It("shows the fleet", func() {
		s, err := client.Status(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Members).To(HaveLen(2))
		targets, err := client.Targets(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(targets).To(HaveLen(1))
		Expect(targets[0].DrainReason).To(Equal("disk"))
		Expect(targets[0].OwnedSlots).To(Equal(4))
		table, err := client.Table(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(table.Services[0].Owners).To(Equal(map[string]int{"t1": 4}))
	})

	// Guards against lifting the quarantine of another fingerprint, and against confirming the loss of a live member.
	It("lifts a quarantine and confirms a lost member", func() {
		list, err := client.Quarantine(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(client.LiftQuarantine(ctx, list[0].Fingerprint)).To(Succeed())
		Expect(daemon.lifted).To(Equal([]uint64{0xab}))
		expectStatus(client.LiftQuarantine(ctx, "ac"), http.StatusNotFound)
		Expect(client.ConfirmLost(ctx, "odda-2")).To(Succeed())
		Expect(daemon.confirmed).To(Equal([]string{"odda-2"}))
		expectStatus(client.ConfirmLost(ctx, "odda-1"), http.StatusConflict)
		expectStatus(client.ConfirmLost(ctx, "odda-3"), http.StatusNotFound)
	})

	// Guards against accepting a text with errors, or one that changes the number of slots and so remaps keys.
	It("checks a configuration", func() {
		c, err := client.CheckConfig(ctx, next)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Diff).To(HaveLen(1))
		_, err = client.CheckConfig(ctx, "x = 1\ny = 2")
		Expect(expectStatus(err, http.StatusUnprocessableEntity).Faults).To(HaveLen(2))
		_, err = client.CheckConfig(ctx, strings.Replace(text, "slots = 4", "slots = 5", 1))
		expectStatus(err, http.StatusUnprocessableEntity)
	})

	// Guards against lost updates when operators put configurations concurrently.
	It("reports a conflict with the difference", func() {
		_, err := put(2, "op4")
		e := expectStatus(err, http.StatusConflict)
		Expect(e.CurrentVersion).To(Equal(uint64(3)))
		Expect(e.CurrentAuthor).To(Equal("ann"))
		Expect(e.Diff).To(ConsistOf(ContainSubstring("weight 2")))
		Expect(daemon.puts).To(BeZero())
		_, err = put(4, "op5")
		expectStatus(err, http.StatusServiceUnavailable)
	})

	loseResponses := func(takesEffect ...bool) {
		daemon.takesEffect = takesEffect
		for range takesEffect {
			daemon.putErrs = append(daemon.putErrs, fulmarstore.ErrAmbiguous)
		}
	}

	// Guards against reporting a put that took effect as failed, or a failed one as done, after a lost response.
	It("resolves a lost response whose write took effect", func() {
		loseResponses(true)
		Expect(put(3, "op4")).To(Equal(fulmaradmin.PutResult{Version: 4}))
		Expect(daemon.puts).To(Equal(1))
	})
	It("resolves a lost response whose write did not take effect", func() {
		loseResponses(false)
		Expect(put(3, "op4")).To(Equal(fulmaradmin.PutResult{Version: 4}))
		Expect(daemon.stored.OperationID).To(Equal("op4"))
	})
	It("reports an outcome that it cannot resolve as ambiguous", func() {
		loseResponses(false, false, false, false)
		_, err := put(3, "op4")
		Expect(expectStatus(err, http.StatusGatewayTimeout).OperationID).To(Equal("op4"))
	})
	It("reports an outage as unavailability without effect", func() {
		daemon.putErrs, daemon.takesEffect = []error{fulmarstore.ErrUnavailable}, []bool{false}
		_, err := put(3, "op4")
		expectStatus(err, http.StatusServiceUnavailable)
	})
	It("answers a repeated put with the same operation id as done", func() {
		_, err := put(3, "op4")
		Expect(err).NotTo(HaveOccurred())
		Expect(put(3, "op4")).To(Equal(fulmaradmin.PutResult{Version: 4}))
		Expect(daemon.puts).To(Equal(1))
	})

	// Guards against treating a daemon that received the put and then crashed as one that could not be reached.
	It("distinguishes an unreachable daemon from a lost response", func() {
		var calls atomic.Int32
		broken := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			calls.Add(1)
			panic(http.ErrAbortHandler)
		}))
		address := strings.TrimPrefix(broken.URL, "http://")
		c := fulmaradmin.NewClient([]string{address}, key, broken.Client())
		_, err := c.PutConfig(ctx, fulmaradmin.PutRequest{BaseVersion: 3, OperationID: "o", Author: "a"})
		Expect(err).To(MatchError(fulmaradmin.ErrAmbiguous))
		_, err = c.Status(ctx)
		Expect(err).To(MatchError(fulmaradmin.ErrUnreachable))
		broken.Close()
		_, err = c.PutConfig(ctx, fulmaradmin.PutRequest{BaseVersion: 3, OperationID: "o", Author: "a"})
		Expect(err).To(MatchError(fulmaradmin.ErrUnreachable))
	})
})

var _ = Describe("authentication", func() {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	clock := now
	var api *fulmaradmin.API
	BeforeEach(func() {
		clock = now.Add(-time.Hour)
		api = fulmaradmin.NewWithClock(newFakeDaemon(), key, func() time.Time { return clock })
		clock = now
	})
	signed := func(at time.Time, k []byte) *http.Request {
		body := `{"text":""}`
		r := httptest.NewRequest("POST", "/v1/config/check", strings.NewReader(body))
		fulmaradmin.Sign(r, k, []byte(body), at)
		return r
	}
	serve := func(r *http.Request) int {
		w := httptest.NewRecorder()
		api.ServeHTTP(w, r)
		return w.Code
	}

	// Guards against requests signed without the key, and against replayed or altered requests.
	It("accepts only authentic requests", func() {
		Expect(serve(signed(now, key))).To(Equal(200))
		Expect(serve(signed(now.Add(29*time.Second), key))).To(Equal(200))
		Expect(serve(signed(now, []byte("another key 0123")))).To(Equal(401))
		Expect(serve(signed(now.Add(31*time.Second), key))).To(Equal(401))
		Expect(serve(signed(now.Add(-31*time.Second), key))).To(Equal(401))
		Expect(serve(httptest.NewRequest("GET", "/v1/status", nil))).To(Equal(401))
	})
	DescribeTable("refuses an altered request", func(alter func(*http.Request)) {
		r := signed(now, key)
		alter(r)
		Expect(serve(r)).To(Equal(401))
	},
		Entry("method", func(r *http.Request) { r.Method = "PUT" }),
		Entry("path", func(r *http.Request) { r.URL.Path = "/v1/config" }),
		Entry("query", func(r *http.Request) { r.URL.RawQuery = "a=b" }),
		Entry("nonce", func(r *http.Request) { r.Header.Set(fulmaradmin.HeaderNonce, "x") }),
		Entry("date", func(r *http.Request) {
			r.Header.Set(fulmaradmin.HeaderDate, now.Add(time.Second).Format(time.RFC3339Nano))
		}),
		Entry("body", func(r *http.Request) { r.Body = io.NopCloser(strings.NewReader(`{"text":" "}`)) }),
	)
	It("refuses a replay", func() {
		r := signed(now, key)
		again := r.Clone(context.Background())
		again.Body = io.NopCloser(strings.NewReader(`{"text":""}`))
		Expect(serve(r)).To(Equal(200))
		Expect(serve(again)).To(Equal(401))
	})
	It("rejects a request dated before the start of the daemon", func() {
		api = fulmaradmin.NewWithClock(newFakeDaemon(), key, func() time.Time { return clock })
		Expect(serve(signed(now.Add(-time.Second), key))).To(Equal(401))
	})
})
