package fulmarplatform_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarplatform"
)

var _ = Describe("Platform", func() {
	var platform *fulmarplatform.Platform
	var server *httptest.Server
	BeforeEach(func() {
		platform = fulmarplatform.New(0)
		server = httptest.NewServer(platform)
		ctx, cancel := context.WithCancel(context.Background())
		go platform.Run(ctx)
		DeferCleanup(func() { cancel(); server.Close() })
	})
	call := func(method, path, body string) (string, http.Header, error) {
		req, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return "", nil, err
		}
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		return fmt.Sprintf("%d %s", resp.StatusCode, strings.TrimSpace(string(b))), resp.Header, err
	}
	expectCall := func(method, path, body, want string) {
		GinkgoHelper()
		got, _, err := call(method, path, body)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(ContainSubstring(want))
	}

	// Guards against a lost update: a writer with an outdated index must fail.
	It("compares and swaps", func() {
		expectCall("PUT", "/v1/kv/a/b?cas=0", "one", "200 true")
		expectCall("PUT", "/v1/kv/a/b?cas=0", "two", "200 false")
		_, header, _ := call("GET", "/v1/kv/a/b?consistent", "")
		index := header.Get("X-Consul-Index")
		expectCall("PUT", "/v1/kv/a/b?cas="+index, "two", "200 true")
		expectCall("PUT", "/v1/kv/a/b?cas="+index, "three", "200 false")
		expectCall("GET", "/v1/kv/a/b?raw", "", "200 two")
		expectCall("PUT", "/v1/kv/a/b", strings.Repeat("x", fulmarplatform.MaxValueSize+1), "413")
	})

	// Guards against a blocking read that misses a change or is not counted.
	It("answers a blocking read after a change", func() {
		expectCall("PUT", "/v1/kv/k", "1", "true")
		_, header, _ := call("GET", "/v1/kv/k", "")
		done := make(chan string, 1)
		go func() {
			got, _, _ := call("GET", "/v1/kv/k?raw&wait=10s&index="+header.Get("X-Consul-Index"), "")
			done <- got
		}()
		Eventually(func() int64 { return platform.Counts().Waiting }).Should(BeEquivalentTo(1))
		expectCall("PUT", "/v1/kv/k", "2", "true")
		Eventually(done).Should(Receive(Equal("200 2")))
		Expect(platform.Counts().Watches).To(BeEquivalentTo(1))
	})

	// Guards against a lock that outlives its session.
	It("releases keys when a session lapses and deletes them on request", func() {
		expectCall("PUT", "/v1/session/create", `{"TTL":"1s"}`, `{"ID":"session-1"}`)
		expectCall("PUT", "/v1/session/create", `{"TTL":"60s","Behavior":"delete"}`, `{"ID":"session-2"}`) //nolint:misspell // a field of the published API
		expectCall("PUT", "/v1/kv/lock?acquire=session-1", "a", "true")
		expectCall("PUT", "/v1/kv/lock?acquire=session-2", "b", "false")
		Eventually(func() string {
			got, _, _ := call("PUT", "/v1/kv/lock?acquire=session-2", "b")
			return got
		}, 3*time.Second).Should(Equal("200 true"))
		expectCall("PUT", "/v1/session/renew/session-1", "", "404")
		expectCall("PUT", "/v1/session/destroy/session-2", "", "true")
		expectCall("GET", "/v1/kv/lock", "", "404")
	})

	// Guards against injected faults that have no effect or outlast their removal.
	It("switches faults", func() {
		expectCall("PUT", "/lab/fault", `{"lose":true}`, "200")
		_, _, err := call("PUT", "/v1/kv/x", "kept")
		Expect(err).To(HaveOccurred())
		expectCall("PUT", "/lab/fault", `{"down":"error"}`, "200")
		expectCall("GET", "/v1/kv/x", "", "500")
		expectCall("PUT", "/lab/fault", `{"down":"refuse"}`, "200")
		_, _, err = call("GET", "/v1/kv/x", "")
		Expect(err).To(HaveOccurred())
		expectCall("PUT", "/lab/fault", `{"stale":true}`, "200")
		expectCall("GET", "/v1/kv/x?raw", "", "200 kept")
		expectCall("PUT", "/v1/agent/service/register", `{"ID":"t1","Name":"target","Address":"127.0.0.1","Port":9,"Meta":{"dc":"odda"}}`, "200")
		expectCall("GET", "/v1/catalog/service/target", "", "[]")
		expectCall("PUT", "/lab/fault", `{}`, "200")
		expectCall("GET", "/v1/catalog/service/target", "", `"Datacenter":"odda"`)
		expectCall("PUT", "/v1/agent/service/deregister/t1", "", "200")
		expectCall("GET", "/v1/catalog/service/target", "", "[]")
	})
})
