package fulmarserver

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarhistory"
)

// Guards against a request that is served although it crashes its target: on a busy machine the commit came before the exit.
func TestCrashBeforeCommit(t *testing.T) {
	g := NewWithT(t)
	var history bytes.Buffer
	s, err := New(Settings{Target: "t", Service: "s", Slots: 3}, fulmarhistory.New(&history))
	g.Expect(err).NotTo(HaveOccurred())
	exited := false
	s.exit = func(int) { exited = true } // late, as far as the request can tell
	r := httptest.NewRequest(http.MethodPost, "/", http.NoBody)
	r.Header.Set(HeaderCrash, "1")
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	g.Expect(exited).To(BeTrue())
	g.Expect(w.Code).NotTo(Equal(http.StatusOK))
	g.Expect(history.String()).NotTo(ContainSubstring("commit"))
}
