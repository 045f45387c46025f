package fulmarload_test

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

	"github.com/fulmarbend/fulmarbend/internal/fulmarhistory"
	"github.com/fulmarbend/fulmarbend/internal/fulmarload"
	"github.com/fulmarbend/fulmarbend/internal/fulmarserver"
)

var _ = Describe("Load", func() {
	// Guards against a retry under another id, and against wrong counts of outcomes.
	It("sends a request again with its id until it is served", func() {
		daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Fulmarbend-Attempt") == "1" {
				w.Header().Set("Fulmarbend-Outcome", "not-run")
				w.Header().Set("Fulmarbend-Reason", "moving")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			w.Header().Set("Fulmarbend-Outcome", "served")
			a := fulmarserver.Answer{ID: r.Header.Get("Fulmarbend-Request-Id")}
			b, _ := json.Marshal(a)
			size, _ := strconv.Atoi(r.Header.Get("Lab-Size"))
			a.Pad = strings.Repeat("x", size-len(b))
			_ = json.NewEncoder(w).Encode(a)
		}))
		DeferCleanup(daemon.Close)
		result := fulmarload.New(fulmarload.Settings{
			Daemons:  []string{daemon.Listener.Addr().String()},
			Groups:   []fulmarload.Group{{Name: "g", Service: "s", Rate: 200}},
			Duration: 200 * time.Millisecond, Timeout: time.Second, MaxAttempts: 3, MaxInFlight: 50,
		}, fulmarhistory.New(io.Discard)).Run(context.Background())
		sent := result.Counts["g/s"]["served"]
		Expect(sent).To(BeNumerically(">", 5))
		Expect(result.Attempts).To(Equal(2 * sent))
		Expect(result.UnservedAttempts).To(Equal(map[string]int{"not-run moving": sent}))
		Expect(result.ShortLatency.TotalCount()).To(BeEquivalentTo(sent))
		ids := map[string]int{}
		for _, c := range result.Calls {
			ids[c.ID]++
			Expect(c.AnswerID == c.ID).To(Equal(c.Outcome == "served"))
		}
		Expect(ids).To(HaveLen(sent))
	})

	// Guards against keys that receive no requests by chance, which would look like an outage.
	It("requests each key at even intervals", func() {
		daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Fulmarbend-Outcome", "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		DeferCleanup(daemon.Close)
		result := fulmarload.New(fulmarload.Settings{
			Daemons: []string{daemon.Listener.Addr().String()}, Groups: []fulmarload.Group{{Name: "g", Service: "s", Rate: 400}},
			HotKeysPerService: 4, HotShare: 1, EvenIntervals: true, Duration: 200 * time.Millisecond, Timeout: time.Second, MaxAttempts: 1, MaxInFlight: 50,
		}, fulmarhistory.New(io.Discard)).Run(context.Background())
		keys := map[string]int{}
		for _, c := range result.Calls {
			keys[c.Key]++
		}
		Expect(keys).To(HaveLen(4))
		for _, n := range keys {
			Expect(n).To(BeNumerically("~", len(result.Calls)/4, 1))
		}
	})
})
