package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	enquiryBytes     = 120_000 // of the body of a request
	enquiryAnswer    = 200_000 // of the body of an answer
	enquiryBatch     = 4       // safe requests that a consumer sends before the first has been answered
	enquiryConsumers = 12
	enquiryDeadline  = 3 * time.Second
	graceTime        = 6 * time.Second // GraceS
)

// enquiries is the state of the consumers.
type enquiries struct {
	mu           sync.Mutex
	terminatedAt []time.Time // by daemon: the latest SIGTERM
	sent, served int
	resent       int // behind an answer that closed the connection, and not passed on
	lost         int
}

// rollTerm sends safe requests with long bodies over kept connections, some before the first has been answered. With trouble,
// the daemons get SIGTERM one after the other and start again. LOST: around a SIGTERM, no connection may end without the
// complete answer to a request that has been passed on.
func rollTerm(c *caseRun) (bool, error) {
	var err error
	if c.store, err = startStore(c.ip(200) + ":0"); err != nil {
		return false, err
	}
	var rec record
	var upstreams []*upstream
	for i := range 8 {
		u, err := startUpstream(fmt.Sprintf("i-%08x", 0x3000+i), "board", c.ip(201)+":0", 20*time.Millisecond, &rec)
		if err != nil {
			return false, err
		}
		u.answerBytes = enquiryAnswer
		upstreams = append(upstreams, u)
	}
	config, err := json.Marshal(map[string]any{
		"Version": "r3",
		"Routes": map[string]any{
			"Columns": []string{"Name", "Host", "Prefix", "Kind", "TimeoutMs", "LatencyGoalMs", "Priority", "Split", "Attempts", "Service"},
			"Rows":    [][]any{{"r-1", "board.example", "/enquiries/", "safe", enquiryDeadline.Milliseconds(), 800, 2, nil, 2, "board"}},
		},
		"Services": map[string]any{
			"Columns": []string{"Name", "HealthPath", "MaxConns", "Protocol", "Tls", "Sharded", "WarmS", "Grants"},
			"Rows":    [][]any{{"board", "/health", 292, "h1", false, nil, nil, nil}},
		},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	if err != nil {
		return false, err
	}
	c.store.put("op/config", config)
	go beat(c.store, upstreams, c.stop)
	if err := c.startDaemons(3); err != nil {
		return false, err
	}
	platform := startRotation(c.daemons, c.stop)
	time.Sleep(3 * time.Second)

	e := &enquiries{terminatedAt: make([]time.Time, len(c.daemons))}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for consumer := range enquiryConsumers {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					c.enquire(consumer, platform.pick(), upstreams, e)
				}
			}
		})
	}
	err = c.rollAll(e)
	close(stop)
	group.Wait()
	if err != nil {
		return false, err
	}
	summary := fmt.Sprintf("%d requests sent, %d served, %d not passed on; %d were passed on and answered by their upstreams, and their connections ended without the complete answer",
		e.sent, e.served, e.resent, e.lost)
	c.logf("%s", summary)
	fmt.Println(summary)
	if e.served < 500 {
		return false, fmt.Errorf("only %d requests were served", e.served)
	}
	return e.lost > 0, nil
}

// rollAll sends SIGTERM to one daemon after the other and starts it again after its end. Without trouble it only waits.
func (c *caseRun) rollAll(e *enquiries) error {
	for i, d := range c.daemons {
		time.Sleep(3500 * time.Millisecond) // calm for over ContactMs
		if !c.trouble {
			time.Sleep(graceTime)
			continue
		}
		began := time.Now()
		e.mu.Lock()
		e.terminatedAt[i] = began
		e.mu.Unlock()
		c.logf("SIGTERM to %s", d.name)
		d.signal(syscall.SIGTERM)
		select {
		case <-d.ended:
		case <-time.After(graceTime):
			c.logf("%s is still there after GraceS and is killed", d.name)
			_ = d.cmd.Process.Kill()
			<-d.ended
		}
		c.logf("%s has ended after %d ms", d.name, time.Since(began).Milliseconds())
		if err := d.start(); err != nil {
			return err
		}
		for deadline := time.Now().Add(10 * time.Second); !d.isReady(); time.Sleep(100 * time.Millisecond) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s isn't ready again", d.name)
			}
		}
	}
	return nil
}

// enquire opens a connection to a daemon and sends one batch of requests, each before the former one has been answered.
func (c *caseRun) enquire(consumer, daemon int, upstreams []*upstream, e *enquiries) {
	conn, err := net.DialTimeout("tcp", c.daemons[daemon].front, time.Second)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer conn.Close()
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(windowBytes) // DEPLOY.md: links have small windows
	}
	reader := bufio.NewReader(conn)
	body := strings.Repeat("y", enquiryBytes)
	for range 10 {
		var ids []string
		for range enquiryBatch {
			ids = append(ids, randomID())
		}
		began := time.Now()
		_ = conn.SetDeadline(began.Add(enquiryDeadline + time.Second))
		written := make(chan struct{})
		go func() {
			defer close(written)
			for _, id := range ids {
				if _, err := fmt.Fprintf(conn, "POST /enquiries/%d HTTP/1.1\r\nHost: board.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
					consumer, id, enquiryDeadline.Milliseconds(), len(body), body); err != nil {
					return
				}
			}
		}()
		answers, closes := 0, false
		var failure error
		for answers < len(ids) && !closes && failure == nil {
			resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
			if err == nil {
				closes = resp.Close
				_, err = io.Copy(io.Discard, resp.Body)
			}
			if failure = err; err == nil {
				answers++
			}
		}
		took := time.Since(began)
		if failure != nil || closes {
			conn.Close()
		}
		<-written
		c.countEnquiries(consumer, daemon, ids, answers, failure, took, upstreams, e)
		if failure != nil || closes {
			return
		}
		time.Sleep(30 * time.Millisecond)
	}
}

// countEnquiries counts the requests of a batch of which the first answers were received whole.
func (c *caseRun) countEnquiries(consumer, daemon int, ids []string, answers int, failure error, took time.Duration, upstreams []*upstream, e *enquiries) {
	if answers < len(ids) {
		time.Sleep(100 * time.Millisecond)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sent += len(ids)
	e.served += answers
	since := time.Since(e.terminatedAt[daemon])
	planned := since < graceTime+time.Second
	for i, id := range ids[answers:] {
		by := ""
		for _, u := range upstreams {
			if _, ok := u.answered.Load(id); ok {
				by = u.id
			}
		}
		if by == "" {
			e.resent++
			continue
		}
		note := "not counted"
		if planned && took < enquiryDeadline-500*time.Millisecond {
			e.lost++
			note = "LOST"
		}
		c.logf("%s: consumer %d, request %s, number %d of its batch, passed on by %s and answered whole by %s, has no complete answer %d ms after the batch was begun, %d ms after the SIGTERM: %v",
			note, consumer, id, answers+i+1, c.daemons[daemon].name, by, took.Milliseconds(), since.Milliseconds(), failure)
	}
}
