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

// fake is a Source whose puts end with the errors in turn; a put with a nil error, or one listed in lands, takes effect.
type fake struct {
	stored    fulmarconfig.Versioned
	table     fulmarslot.Table
	errs      []error
	lands     []bool
	puts      int
	lifted    []uint64
	confirmed []string
}

func (f *fake) Status() fulmaradmin.Status {
	return fulmaradmin.Status{Instance: "odda-1", ConfigVersion: f.stored.Version, StoreState: fulmaradmin.StoreUp, Members: []fulmaradmin.Member{
		{ID: "odda-1", State: "live", ConfigVersion: f.stored.Version}, {ID: "odda-2", State: "down"},
	}}
}
func (f *fake) Table() fulmarslot.Table           { return f.table }
func (f *fake) Versioned() fulmarconfig.Versioned { return f.stored }
func (f *fake) Holder(target string) (fulmarslot.Member, bool) {
	return fulmarslot.Member{ID: "holder-of-" + target}, true
}
func (f *fake) Confirm(member string)   { f.confirmed = append(f.confirmed, member) }
func (f *fake) Lift(fingerprint uint64) { f.lifted = append(f.lifted, fingerprint) }

func (f *fake) PutConfig(_ context.Context, v fulmarconfig.Versioned, base uint64) error {
	i := f.puts
	f.puts++
	if f.stored.Version != base {
		return &fulmaradmin.ConflictError{Current: f.stored}
	}
	if i >= len(f.errs) || f.lands[i] {
		f.stored = v
	}
	if i < len(f.errs) {
		return f.errs[i]
	}
	return nil
}

func newFake() *fake {
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
	return &fake{table: table, stored: fulmarconfig.Versioned{Version: 3, OperationID: "op3", Author: "ann", Text: []byte(text)}}
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
		source *fake
		client *fulmaradmin.Client
		ctx    = context.Background()
		next   = strings.Replace(text, "weight = 2", "weight = 3", 1)
	)
	BeforeEach(func() {
		source = newFake()
		server := httptest.NewServer(fulmaradmin.New(source, key))
		DeferCleanup(server.Close)
		client = fulmaradmin.NewClient([]string{strings.TrimPrefix(server.URL, "http://")}, key, server.Client())
	})
	put := func(base uint64, operation string) (fulmaradmin.PutResult, error) {
		return client.PutConfig(ctx, fulmaradmin.PutRequest{BaseVersion: base, OperationID: operation, Author: "bo", Text: next})
	}

	// Guards against a routing explanation that differs from the table and the configuration.
	It("explains a key", func() {
		e, err := client.Explain(ctx, "rota-board", "k", "north")
		Expect(err).NotTo(HaveOccurred())
		Expect(e.Owner).To(Equal("t1"))
		Expect(e.Dispatcher).To(Equal("holder-of-t1"))
		Expect(e.ConfigVersion).To(Equal(uint64(3)))
		Expect(e.Epoch).To(Equal(source.table.Epoch()))
		Expect(e.Limits.Source).To(HaveKeyWithValue("weight", "exception north: contract"))
		_, err = client.Explain(ctx, "rota-board", "k", "west")
		expectStatus(err, http.StatusNotFound)
		_, err = client.Explain(ctx, "pay-desk", "k", "")
		expectStatus(err, http.StatusNotFound)
	})

	// Guards against views that hide drains, owners or members from operators.
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

	// Guards against an operator's order that reaches the wrong subject or a live member.
	It("lifts and confirms", func() {
		list, err := client.Quarantine(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(client.LiftQuarantine(ctx, list[0].Fingerprint)).To(Succeed())
		Expect(source.lifted).To(Equal([]uint64{0xab}))
		expectStatus(client.LiftQuarantine(ctx, "ac"), http.StatusNotFound)
		Expect(client.ConfirmLost(ctx, "odda-2")).To(Succeed())
		Expect(source.confirmed).To(Equal([]string{"odda-2"}))
		expectStatus(client.ConfirmLost(ctx, "odda-1"), http.StatusConflict)
		expectStatus(client.ConfirmLost(ctx, "odda-3"), http.StatusNotFound)
	})

	// Guards against a text with faults, or one that places keys anew, that daemons would take over.
	It("checks a configuration", func() {
		c, err := client.CheckConfig(ctx, next)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Diff).To(HaveLen(1))
		_, err = client.CheckConfig(ctx, "x = 1\ny = 2")
		Expect(expectStatus(err, http.StatusUnprocessableEntity).Faults).To(HaveLen(2))
		_, err = client.CheckConfig(ctx, strings.Replace(text, "slots = 4", "slots = 5", 1))
		expectStatus(err, http.StatusUnprocessableEntity)
	})

	// Guards against a lost update when operators race.
	It("reports a conflict with the difference", func() {
		_, err := put(2, "op4")
		e := expectStatus(err, http.StatusConflict)
		Expect(e.CurrentVersion).To(Equal(uint64(3)))
		Expect(e.CurrentAuthor).To(Equal("ann"))
		Expect(e.Diff).To(ConsistOf(ContainSubstring("weight 2")))
		Expect(source.puts).To(BeZero())
		_, err = put(4, "op5")
		expectStatus(err, http.StatusServiceUnavailable)
	})

	lost := func(lands ...bool) {
		source.lands = lands
		for range lands {
			source.errs = append(source.errs, fulmarstore.ErrAmbiguous)
		}
	}

	// Guards against a put that took effect and is reported as failed, or the reverse.
	It("settles a lost answer whose write took effect", func() {
		lost(true)
		Expect(put(3, "op4")).To(Equal(fulmaradmin.PutResult{Version: 4}))
		Expect(source.puts).To(Equal(1))
	})
	It("settles a lost answer whose write did not take effect", func() {
		lost(false)
		Expect(put(3, "op4")).To(Equal(fulmaradmin.PutResult{Version: 4}))
		Expect(source.stored.OperationID).To(Equal("op4"))
	})
	It("reports what it cannot settle", func() {
		lost(false, false, false, false)
		_, err := put(3, "op4")
		Expect(expectStatus(err, http.StatusGatewayTimeout).OperationID).To(Equal("op4"))
	})
	It("reports an outage as without effect", func() {
		source.errs, source.lands = []error{fulmarstore.ErrUnavailable}, []bool{false}
		_, err := put(3, "op4")
		expectStatus(err, http.StatusServiceUnavailable)
	})
	It("answers a repeated put of one operation as done", func() {
		_, err := put(3, "op4")
		Expect(err).NotTo(HaveOccurred())
		Expect(put(3, "op4")).To(Equal(fulmaradmin.PutResult{Version: 4}))
		Expect(source.puts).To(Equal(1))
	})

	// Guards against a daemon that took the put and died, which must not look like one that was never reached.
	It("tells an unreachable daemon from a lost answer", func() {
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
		api = fulmaradmin.NewWithClock(newFake(), key, func() time.Time { return clock })
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

	// Guards against orders of someone who does not have the key, or had a request of someone who does.
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
	It("refuses a request from before the start of the daemon", func() {
		api = fulmaradmin.NewWithClock(newFake(), key, func() time.Time { return clock })
		Expect(serve(signed(now.Add(-time.Second), key))).To(Equal(401))
	})
})
