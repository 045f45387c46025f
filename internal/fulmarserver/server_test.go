package fulmarserver_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarhistory"
	"github.com/fulmarbend/fulmarbend/internal/fulmarserver"
	"github.com/fulmarbend/fulmarbend/pkg/fulmargrant"
)

// memoryFile keeps a history in memory.
type memoryFile struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (f *memoryFile) Write(b []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.buf.Write(b)
}

// kinds returns the kinds of the events in order.
func (f *memoryFile) kinds() (out []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	events, err := fulmarhistory.Read[fulmarhistory.Event](nil, bytes.NewReader(f.buf.Bytes()))
	Expect(err).NotTo(HaveOccurred())
	for _, e := range events {
		out = append(out, e.Kind)
	}
	return out
}

var _ = Describe("Server", func() {
	var server *httptest.Server
	var history *memoryFile
	startServer := func(fenced bool) {
		history = &memoryFile{}
		s, err := fulmarserver.New(fulmarserver.Settings{Target: "t", Service: "s", Fenced: fenced, Slots: 3}, fulmarhistory.New(history))
		Expect(err).NotTo(HaveOccurred())
		server = httptest.NewServer(s)
		DeferCleanup(server.Close)
	}
	call := func(ctx context.Context, method, path string, body []byte, headers ...string) (*http.Response, []byte) {
		req, err := http.NewRequestWithContext(ctx, method, server.URL+path, bytes.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		for i := 0; i < len(headers); i += 2 {
			req.Header.Set(headers[i], headers[i+1])
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return nil, nil
		}
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		return resp, b
	}
	grant := func(term uint64, ttl time.Duration, slots ...int) int {
		GinkgoHelper()
		_, b := call(context.Background(), "GET", "/fulmarbend/grant", nil)
		var state fulmargrant.State
		Expect(json.Unmarshal(b, &state)).To(Succeed())
		g, _ := json.Marshal(fulmargrant.Grant{Holder: "d", Term: term, Epoch: 1, Slots: slots, Stamp: state.Stamp, TTL: ttl})
		resp, _ := call(context.Background(), "PUT", "/fulmarbend/grant", g)
		return resp.StatusCode
	}
	expectNotRun := func(resp *http.Response, status int) {
		GinkgoHelper()
		Expect(resp.StatusCode).To(Equal(status))
		Expect(resp.Header.Get("Fulmarbend-Outcome")).To(Equal("not-run"))
	}
	ctx := context.Background()

	// Guards against requests that run although the fence does not permit them.
	It("runs granted requests and refuses others as not run", func() {
		startServer(true)
		Expect(grant(2, time.Second, 7)).To(Equal(http.StatusOK))
		resp, b := call(ctx, "POST", "/s/x", nil, "Fulmarbend-Term", "2", "Fulmarbend-Slot", "7", "Fulmarbend-Request-Id", "i", "Lab-Size", "500")
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(b).To(HaveLen(500))
		resp, _ = call(ctx, "POST", "/s/x", nil, "Fulmarbend-Term", "1", "Fulmarbend-Slot", "7")
		expectNotRun(resp, http.StatusPreconditionFailed)
		resp, _ = call(ctx, "POST", "/s/x", nil, "Fulmarbend-Term", "2", "Fulmarbend-Slot", "7", "Fulmarbend-Deadline", "0")
		expectNotRun(resp, http.StatusServiceUnavailable)
		Expect(grant(1, time.Second, 7)).To(Equal(http.StatusConflict))
		Expect(history.kinds()).To(Equal([]string{"up", "grant", "start", "commit"}))
	})

	// Guards against a commit after the grant expired, and against reporting such a request
	// as not run although its work began.
	It("aborts when the grant expires before the commit", func() {
		startServer(true)
		Expect(grant(2, 300*time.Millisecond, 7)).To(Equal(http.StatusOK))
		resp, _ := call(ctx, "POST", "/s/x", nil, "Fulmarbend-Term", "2", "Fulmarbend-Slot", "7", "Lab-Work", "400ms")
		Expect(resp.StatusCode).To(Equal(http.StatusInternalServerError))
		Expect(resp.Header).NotTo(HaveKey("Fulmarbend-Outcome"))
		Expect(history.kinds()).To(Equal([]string{"up", "grant", "start", "abort"}))
	})

	// Guards against more concurrent requests than slots, and against work that goes on after
	// the caller has disconnected.
	It("runs at most 3 requests and cancels on disconnect", func() {
		startServer(false)
		busy, cancel := context.WithCancel(ctx)
		var calls sync.WaitGroup
		for i := range 3 {
			calls.Go(func() { call(busy, "POST", "/s/x", nil, "Lab-Work", "1m", "Fulmarbend-Request-Id", strconv.Itoa(i)) })
		}
		Eventually(history.kinds).Should(HaveLen(4))
		resp, _ := call(ctx, "POST", "/s/x", nil)
		expectNotRun(resp, http.StatusServiceUnavailable)
		cancel()
		calls.Wait()
		Eventually(history.kinds).Should(ContainElements("abort", "abort", "abort"))
	})
})
