package fulmarlink_test

import (
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarlink"
)

// Guards against a connection that carries requests of two lanes: an answer too many of one passed as that to a request of the
// other.
func TestLanes(t *testing.T) {
	g := NewWithT(t)
	s, p := startTarget(t, okAnswer), newPool(t)
	send := func(id, lane string, place fulmarlink.Place) {
		r := request(id, "")
		r.Lane = lane
		a, err := p.Do(t.Context(), s.Addr().String(), r)
		expectBody(g, a, err, "ok")
		g.Expect(a.Place).To(Equal(place))
	}
	send("1", "a", fulmarlink.Place{Connection: 1, Exchange: 1})
	send("2", "b", fulmarlink.Place{Connection: 2, Exchange: 1})
	send("3", "", fulmarlink.Place{Connection: 3, Exchange: 1})
	send("4", "a", fulmarlink.Place{Connection: 1, Exchange: 2})
	send("5", "b", fulmarlink.Place{Connection: 2, Exchange: 2})
	reuse := request("6", "")
	reuse.Lane, reuse.ReuseOnly = "c", true
	_, err := p.Do(t.Context(), s.Addr().String(), reuse)
	g.Expect(err).To(MatchError(fulmarlink.ErrUnsent))
	g.Expect(p.Idle(s.Addr().String())).To(Equal(3))
}

// Guards against a connection that forgets some of its tokens, so that a copy of an old answer passes for a new one, or that
// remembers any number of them.
func TestTokensAreBounded(t *testing.T) {
	g := NewWithT(t)
	s, p := startTarget(t, strings.Replace(okAnswer, "Id:", "Token:", 1)), newPool(t)
	const requests = 3000
	for i := range requests {
		r := request(strconv.Itoa(i), "")
		r.ID, r.TokenHeader = "", "Token" // a connection remembers ids as well, but the answers to orders bear none
		a, err := p.Do(t.Context(), s.Addr().String(), r)
		expectBody(g, a, err, "ok")
	}
	g.Expect(s.connections()).To(And(BeNumerically(">", 1), BeNumerically("<=", 4)))
}
