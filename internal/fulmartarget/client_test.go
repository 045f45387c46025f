package fulmartarget_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/fulmarbend/fulmarbend/internal/fulmartarget"
	"github.com/fulmarbend/fulmarbend/pkg/fulmargrant"
	"github.com/fulmarbend/fulmarbend/pkg/fulmaroutcome"
)

// start returns a client and the address of a fake target.
func start(h http.HandlerFunc) (*fulmartarget.Client, string, *httptest.Server) {
	before := goleak.IgnoreCurrent()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(fulmaroutcome.HeaderExchange, r.Header.Get(fulmaroutcome.HeaderExchange))
		h(w, r)
	}))
	c := fulmartarget.New(4, nil)
	DeferCleanup(func() {
		c.Close()
		s.Close()
		Eventually(func() error { return goleak.Find(before) }).Should(Succeed())
	})
	return c, strings.TrimPrefix(s.URL, "http://"), s
}

var _ = Describe("grants", func() {
	state := fulmargrant.State{Target: "t1", Holder: "a", Term: 3, Stamp: time.Second, Capacity: 3}
	given := fulmargrant.Grant{Holder: "a", Term: 3, Epoch: 2, Slots: []int{1, 4}, TTL: time.Second}

	// Guards against grants that lose fields in transit.
	It("exchanges grants and states", func() {
		var got fulmargrant.Grant
		c, address, _ := start(func(w http.ResponseWriter, r *http.Request) {
			defer GinkgoRecover()
			Expect(r.URL.Path).To(Equal("/fulmarbend/grant"))
			if r.Method == http.MethodPut {
				Expect(json.NewDecoder(r.Body).Decode(&got)).To(Succeed())
			}
			_ = json.NewEncoder(w).Encode(state)
		})
		Expect(c.State(context.Background(), address)).To(Equal(state))
		Expect(c.Grant(context.Background(), address, given)).To(Equal(state))
		Expect(got).To(Equal(given))
	})

	// Guards against a displaced holder that is not told so, and against accepting other answers as grants.
	It("returns the state with a refusal, and other statuses as errors", func() {
		status := http.StatusConflict
		c, address, _ := start(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(fulmaroutcome.HeaderReason, "term")
			w.WriteHeader(status)
			_ = json.NewEncoder(w).Encode(state)
		})
		got, err := c.Grant(context.Background(), address, given)
		Expect(got).To(Equal(state))
		Expect(err).To(Equal(&fulmargrant.RefusedError{Reason: "term"}))
		status = http.StatusInternalServerError
		_, err = c.Grant(context.Background(), address, given)
		Expect(err).To(Equal(&fulmartarget.StatusError{Status: 500}))
	})
})

var _ = Describe("orders", func() {
	order := func() fulmartarget.Order {
		return fulmartarget.Order{
			Method: http.MethodPost, Path: "/desk/a%2Fb?c=d", Body: io.NopCloser(strings.NewReader("body")), BodyLength: 4,
			Term: 7, Slot: 5, Sender: "a", Deadline: time.Now().Add(2 * time.Second),
			Header: http.Header{
				"Colour": {"red"}, "Connection": {"X-Hop"}, "X-Hop": {"1"},
				fulmaroutcome.HeaderKey: {"k"}, fulmaroutcome.HeaderAuth: {"proof"},
			},
		}
	}

	// Guards against orders without fencing term or deadline, and against forwarding hop-by-hop headers.
	It("sends the request, the fencing term and the deadline", func() {
		var got *http.Request
		var body []byte
		c, address, _ := start(func(_ http.ResponseWriter, r *http.Request) {
			got = r.Clone(context.Background())
			body, _ = io.ReadAll(r.Body)
		})
		o := order()
		resp, err := c.Do(context.Background(), address, o)
		Expect(err).NotTo(HaveOccurred())
		_ = resp.Body.Close()
		Expect(got.RequestURI).To(Equal(o.Path))
		Expect(string(body)).To(Equal("body"))
		Expect(got.ContentLength).To(BeEquivalentTo(4))
		for name, want := range map[string]string{
			"Colour": "red", "X-Hop": "", fulmaroutcome.HeaderKey: "k", fulmaroutcome.HeaderAuth: "",
			fulmaroutcome.HeaderTerm: "7", fulmaroutcome.HeaderSlot: "5", fulmaroutcome.HeaderSender: "a",
			fulmaroutcome.HeaderDeadlineAt: o.Deadline.UTC().Format(time.RFC3339Nano),
		} {
			Expect(got.Header.Get(name)).To(Equal(want), name)
		}
		left, err := strconv.Atoi(got.Header.Get(fulmaroutcome.HeaderDeadline))
		Expect(err).NotTo(HaveOccurred())
		Expect(left).To(And(BeNumerically(">", 1000), BeNumerically("<=", 2000)))
	})

	// Guards against taking an answer of the target's service for a refusal by its fence.
	DescribeTable("distinguishes a refusal from an answer", func(status int, outcome string, reason fulmaroutcome.Reason, notRun bool) {
		c, address, _ := start(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(fulmaroutcome.HeaderOutcome, outcome)
			w.WriteHeader(status)
		})
		resp, err := c.Do(context.Background(), address, order())
		Expect(err).NotTo(HaveOccurred())
		_ = resp.Body.Close()
		got, ok := fulmartarget.NotRun(resp)
		Expect(ok).To(Equal(notRun))
		Expect(got).To(Equal(reason))
	},
		Entry("fenced", 412, "not-run", fulmaroutcome.Fenced, true),
		Entry("shed", 503, "not-run", fulmaroutcome.Shed, true),
		Entry("own 412", 412, "", fulmaroutcome.Reason(""), false),
		Entry("own 503", 503, "", fulmaroutcome.Reason(""), false),
		Entry("other status", 200, "not-run", fulmaroutcome.Reason(""), false),
	)

	// Guards against retrying an order that may have run, and against failing to retry one that was not sent.
	It("distinguishes an order that was not sent from a broken connection", func() {
		c, address, s := start(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		_, err := c.Do(context.Background(), address, order())
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(fulmartarget.ErrNotSent))
		s.Close()
		_, err = c.Do(context.Background(), address, order())
		Expect(err).To(MatchError(fulmartarget.ErrNotSent))
	})
})
