package fulmarlink_test

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarlink"
)

// refusalOfOne is a refusal of the request with the id one.
const refusalOfOne = "HTTP/1.1 503 x\r\nId: one\r\nContent-Length: 0\r\n\r\n"

// Guards against a request on a connection that may still hold an answer to an earlier send of its id: the copy of a refusal
// passed as the answer to a request that ran.
func TestRepeatedID(t *testing.T) {
	send := func(g Gomega, p *fulmarlink.Pool, s *scriptedTarget, id string, place fulmarlink.Place) {
		a, err := p.Do(t.Context(), s.Addr().String(), request(id, ""))
		expectBody(g, a, err, "ok")
		g.Expect(a.Place).To(Equal(place))
	}
	t.Run("after a refusal", func(t *testing.T) {
		g := NewWithT(t)
		s, p := startTarget(t, refusalOfOne, refusalOfOne+okAnswer), newPool(t)
		for range 2 {
			// Each send gets the refusal, and none a copy of it. A body would be sent beside the answer, and the connection of a
			// request that is refused before its end is not kept in any case.
			r := request("one", "")
			r.Body = nil
			a, err := p.Do(t.Context(), s.Addr().String(), r)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(a.Place.Exchange).To(Equal(1))
		}
		g.Expect(s.connections()).To(Equal(2))
	})
	t.Run("after other requests", func(t *testing.T) {
		g := NewWithT(t)
		s, p := startTarget(t, okAnswer), newPool(t)
		send(g, p, s, "one", fulmarlink.Place{Connection: 1, Exchange: 1})
		send(g, p, s, "two", fulmarlink.Place{Connection: 1, Exchange: 2})
		send(g, p, s, "one", fulmarlink.Place{Connection: 2, Exchange: 1, Avoided: 1})
		g.Expect(p.Open(s.Addr().String())).To(Equal(1), "the connection that was not used makes room for the new one")
		send(g, p, s, "two", fulmarlink.Place{Connection: 2, Exchange: 2})
		send(g, p, s, "two", fulmarlink.Place{Connection: 3, Exchange: 1, Avoided: 1})
	})
	t.Run("an idle connection is required", func(t *testing.T) {
		g := NewWithT(t)
		s, p := startTarget(t, okAnswer), newPool(t)
		send(g, p, s, "one", fulmarlink.Place{Connection: 1, Exchange: 1})
		r := request("one", "")
		r.ReuseOnly = true
		_, err := p.Do(t.Context(), s.Addr().String(), r)
		g.Expect(err).To(MatchError(fulmarlink.ErrUnsent))
		send(g, p, s, "two", fulmarlink.Place{Connection: 1, Exchange: 2})
	})
	t.Run("at a target with room for one connection", func(t *testing.T) {
		g := NewWithT(t)
		address := crowdedTarget(t)
		p := newPoolWithMargin(t, 20*time.Millisecond)
		for range 5 {
			a, err := p.Do(t.Context(), address, request("one", ""))
			expectBody(g, a, err, "ok")
		}
	})
	t.Run("for ever", func(t *testing.T) {
		g := NewWithT(t)
		s, p := startTarget(t, okAnswer), newPool(t)
		for range 100 {
			a, err := p.Do(t.Context(), s.Addr().String(), request("one", ""))
			expectBody(g, a, err, "ok")
			g.Expect(a.Place.Exchange).To(Equal(1))
			g.Expect(p.Open(s.Addr().String())).To(Equal(1), "idle connections that repeats leave behind")
		}
	})
	t.Run("after more requests than a connection remembers", func(t *testing.T) {
		g := NewWithT(t)
		s, p := startTarget(t, okAnswer), newPool(t)
		const requests = 3000
		for i := range requests {
			a, err := p.Do(t.Context(), s.Addr().String(), request(strconv.Itoa(i), ""))
			expectBody(g, a, err, "ok")
		}
		g.Expect(s.connections()).To(And(BeNumerically(">", 1), BeNumerically("<=", 4)))
		g.Expect(p.Open(s.Addr().String())).To(Equal(1))
	})
}

// crowdedTarget starts a target that resets new connections while one is open, and returns its address.
func crowdedTarget(t *testing.T) string {
	t.Helper()
	s, room := &scriptedTarget{answers: []string{okAnswer}}, make(chan struct{}, 1)
	return accept(t, func(c net.Conn) {
		select {
		case room <- struct{}{}:
			s.serve(c)
			<-room
		case <-time.After(10 * time.Millisecond): // the time to see that the former connection was closed
			_ = c.(*net.TCPConn).SetLinger(0) // fails only on a closed connection
			c.Close()
		}
	}).Addr().String()
}

// recordingTarget answers all requests and records the ids of each connection.
type recordingTarget struct {
	mu    sync.Mutex
	conns [][]string
}

func (r *recordingTarget) serveConn(c net.Conn) {
	defer c.Close()
	r.mu.Lock()
	n := len(r.conns)
	r.conns = append(r.conns, nil)
	r.mu.Unlock()
	for reader := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := req.Header.Get("Id")
		r.mu.Lock()
		r.conns[n] = append(r.conns[n], id)
		r.mu.Unlock()
		if _, err := io.WriteString(c, strings.ReplaceAll(okAnswer, "ID", id)); err != nil {
			return
		}
	}
}

// Guards against an id that is sent twice on a connection when callers repeat ids beside each other.
func TestRepeatedIDsConcurrently(t *testing.T) {
	g := NewWithT(t)
	target := &recordingTarget{}
	address, p := accept(t, target.serveConn).Addr().String(), newPool(t)
	var group sync.WaitGroup
	for worker := range uint64(8) {
		random := rand.New(rand.NewPCG(1, worker))
		group.Go(func() {
			for range 200 {
				r := request(strconv.Itoa(random.IntN(40)), "")
				r.MaxIdle = 4
				if _, err := p.Do(t.Context(), address, r); err != nil {
					t.Error(err)
				}
			}
		})
	}
	group.Wait()
	g.Eventually(func() int { return p.Idle(address) }, time.Second).Should(BeNumerically("<=", 4))
	target.mu.Lock()
	defer target.mu.Unlock()
	for _, ids := range target.conns {
		seen := make(map[string]bool)
		for _, id := range ids {
			g.Expect(seen).NotTo(HaveKey(id), "ids of a connection: %v", ids)
			seen[id] = true
		}
	}
}
