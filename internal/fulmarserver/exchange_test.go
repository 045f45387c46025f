package fulmarserver

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarhistory"
	"github.com/fulmarbend/fulmarbend/pkg/fulmaroutcome"
)

// Guards against answers without the id of their exchange, which dispatchers do not accept.
func TestAnswersRepeatExchange(t *testing.T) {
	for _, c := range []struct {
		name, method, path, term string
		fenced, shedding         bool
		status                   int
	}{
		{"order that runs", http.MethodPost, "/s/", "", false, false, http.StatusOK},
		{"order under a term that is not current", http.MethodPost, "/s/", "7", true, false, http.StatusPreconditionFailed},
		{"order that is shed", http.MethodPost, "/s/", "", false, true, http.StatusServiceUnavailable},
		{"malformed order", http.MethodPost, "/s/", "x", false, false, http.StatusBadRequest},
		{"state", http.MethodGet, "/fulmarbend/grant", "", true, false, http.StatusOK},
		{"malformed grant", http.MethodPut, "/fulmarbend/grant", "", true, false, http.StatusBadRequest},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s, err := New(Settings{Target: "t", Service: "s", Slots: 3, Fenced: c.fenced}, fulmarhistory.New(io.Discard))
			g.Expect(err).NotTo(HaveOccurred())
			s.shedding.Store(c.shedding)
			r := httptest.NewRequest(c.method, c.path, http.NoBody)
			r.Header.Set(fulmaroutcome.HeaderExchange, "e1")
			r.Header.Set(fulmaroutcome.HeaderTerm, c.term)
			w := httptest.NewRecorder()
			s.ServeHTTP(w, r)
			g.Expect(w.Code).To(Equal(c.status))
			g.Expect(w.Header().Get(fulmaroutcome.HeaderExchange)).To(Equal("e1"))
		})
	}
}
