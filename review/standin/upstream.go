package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is one run of a request at an upstream.
type run struct {
	at                      time.Time
	upstream, id            string
	method, uri, bodySHA256 string
	bodyBytes               int
}

// record holds what the upstreams ran.
type record struct {
	mu   sync.Mutex
	runs []run
}

func (r *record) add(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, x)
}

func (r *record) list() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs...)
}

// upstream is a stand-in of a server of a service without keys: PROTOCOL.md, "Upstreams". It reads each request to its end
// before it answers.
type upstream struct {
	id, service, address string
	born                 int64
	slots, queue         int
	work                 time.Duration
	answerBytes          int           // of the body of an answer, 0 for a short text
	answered             sync.Map      // by request id: the whole answer was written
	shedShare            atomic.Uint64 // of the requests, in 1/1000, that it rejects: "fail part of their requests"
	shed                 atomic.Int64  // requests that it rejected
	full                 atomic.Int64  // requests that it rejected as its queue was full
	record               *record
	listener             net.Listener
	admitted             atomic.Int64
	running              chan struct{}
}

func startUpstream(id, service, address string, work time.Duration, r *record) (*upstream, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	u := &upstream{
		id: id, service: service, address: l.Addr().String(), born: time.Now().UnixMilli(), slots: 3, queue: 12, work: work,
		record: r, listener: l, running: make(chan struct{}, 3),
	}
	go u.accept()
	return u, nil
}

func (u *upstream) accept() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		go u.serve(c)
	}
}

// entry is what the upstream writes of itself to the store.
func (u *upstream) entry(sequence int) []byte {
	text, err := json.Marshal(map[string]any{
		"Address": u.address, "born": u.born,
		"Info":   map[string]any{"Service": u.service, "Version": "v1", "Zone": "a", "Capacity": u.slots},
		"Status": map[string]any{"State": "ready", "Sequence": sequence, "ColdLeftMs": 0},
	})
	if err != nil {
		panic(err)
	}
	return text
}

func (u *upstream) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second)) // the idle timeout, as the Keep-Alive header says
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Now().Add(30 * time.Second))
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // an incomplete request isn't run
		}
		if !u.answer(c, r, body) {
			return
		}
	}
}

func (u *upstream) answer(c net.Conn, r *http.Request, body []byte) bool {
	id := r.Header.Get("X-Request-Id")
	send := func(status int, header, text string) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Instance-Id: %s\r\nKeep-Alive: timeout=10\r\n%sContent-Length: %d\r\n\r\n%s",
			status, http.StatusText(status), id, u.id, header, len(text), text)
		return err == nil
	}
	if r.URL.Path == "/health" {
		return send(http.StatusOK, "", "")
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != u.id {
		return send(http.StatusMisdirectedRequest, "", "")
	}
	if id == "" {
		return send(http.StatusBadRequest, "X-Not-Executed: 1\r\n", "")
	}
	if rand.Uint64N(1000) < u.shedShare.Load() {
		u.shed.Add(1)
		return send(http.StatusServiceUnavailable, "X-Not-Executed: 1\r\n", "")
	}
	if int(u.admitted.Add(1)) > u.slots+u.queue {
		u.admitted.Add(-1)
		u.full.Add(1)
		return send(http.StatusServiceUnavailable, "X-Not-Executed: 1\r\n", "")
	}
	defer u.admitted.Add(-1)
	u.running <- struct{}{}
	defer func() { <-u.running }()
	sum := sha256.Sum256(body)
	u.record.add(run{time.Now(), u.id, id, r.Method, r.RequestURI, hex.EncodeToString(sum[:]), len(body)})
	time.Sleep(u.work)
	text := "done " + id
	if u.answerBytes > 0 {
		text = strings.Repeat("x", u.answerBytes)
	}
	whole := send(http.StatusOK, "X-Response-Signature: "+u.id+"."+id+"\r\n", text)
	if whole {
		u.answered.Store(id, true)
	}
	return whole
}

// beat writes the entries of the upstreams to the store until stop is closed.
func beat(s *store, list []*upstream, stop <-chan struct{}) {
	for sequence := 1; ; sequence++ {
		for _, u := range list {
			s.put("servers/"+u.id, u.entry(sequence))
		}
		select {
		case <-stop:
			return
		case <-time.After(870 * time.Millisecond):
		}
	}
}
