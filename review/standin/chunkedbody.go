package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	bodyBytes    = 100_000
	shedPerMille = 450 // "srv_grey", how "shed all", below the x of 0.55 of the site file
)

// chunkedBody sends orders with bodies of 100,000 bytes in chunks. With trouble, the upstreams fail part of their
// requests for 6.5 s, with answers that state that they did not run them. UNASKED: no upstream may run a request with its body changed.
func chunkedBody(c *caseRun) (bool, error) {
	var err error
	if c.store, err = startStore(c.ip(200) + ":0"); err != nil {
		return false, err
	}
	var rec record
	var upstreams []*upstream
	for i := range 8 {
		u, err := startUpstream(fmt.Sprintf("i-%08x", 0x1000+i), "desk", c.ip(201)+":0", 20*time.Millisecond, &rec)
		if err != nil {
			return false, err
		}
		upstreams = append(upstreams, u)
	}
	config, err := json.Marshal(map[string]any{
		"Version": "r3",
		"Routes": map[string]any{
			"Columns": []string{"Name", "Host", "Prefix", "Kind", "TimeoutMs", "LatencyGoalMs", "Priority", "Split", "Attempts", "Service"},
			"Rows":    [][]any{{"r-1", "desk.example", "/orders/", "unsafe", 2000, 400, 1, nil, 2, "desk"}},
		},
		"Services": map[string]any{
			"Columns": []string{"Name", "HealthPath", "MaxConns", "Protocol", "Tls", "Sharded", "WarmS", "Grants"},
			"Rows":    [][]any{{"desk", "/health", 292, "h1", false, nil, nil, nil}},
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
	time.Sleep(3 * time.Second)

	var mu sync.Mutex
	byID := map[string]sent{}
	var order []sent
	phase := func(length time.Duration) {
		var group sync.WaitGroup
		for client := range 6 {
			group.Go(func() {
				for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
					body := make([]byte, bodyBytes)
					for i := range body {
						body[i] = byte('a' + rand.IntN(26))
					}
					x := send(c.daemons[client%len(c.daemons)].front, "desk.example", "POST", "/orders/"+fmt.Sprint(client), body, 8192, 2*time.Second)
					mu.Lock()
					byID[x.id] = x
					order = append(order, x)
					mu.Unlock()
				}
			})
		}
		group.Wait()
	}
	phase(2 * time.Second)
	if c.trouble {
		c.logf("the upstreams begin to fail part of their requests (srv_grey, shed all, x 0.45)")
		for _, u := range upstreams {
			u.shedShare.Store(shedPerMille)
		}
	}
	phase(6500 * time.Millisecond)
	for _, u := range upstreams {
		u.shedShare.Store(0)
		c.logf("upstream %s is sound; it has rejected %d requests", u.id, u.shed.Load())
	}
	phase(2 * time.Second)

	for _, x := range order {
		c.logf("sent at %.3f s: %s %s id %s, %d bytes in chunks, sha256 %.16s; answer %d, signature %q, after %d ms, error %v",
			x.at.Sub(c.began).Seconds(), x.method, x.uri, x.id, x.bodyBytes, x.bodySHA256, x.status, x.signature, x.took.Milliseconds(), x.err)
	}
	changed, accepted, runs := 0, 0, map[string]int{}
	for _, r := range rec.list() {
		runs[r.id]++
		x, ok := byID[r.id]
		note := ""
		if !ok || x.method != r.method || x.uri != r.uri || x.bodySHA256 != r.bodySHA256 {
			changed++
			note = fmt.Sprintf("; UNASKED: not as sent (%d bytes), answered %d", x.bodyBytes, x.status)
			if x.status == 200 {
				accepted++
			}
		}
		c.logf("run at %.3f s by %s: %s %s id %s, %d bytes, sha256 %.16s%s", r.at.Sub(c.began).Seconds(), r.upstream, r.method, r.uri, r.id, r.bodyBytes, r.bodySHA256, note)
	}
	served := 0
	for _, x := range order {
		if x.status == 200 {
			served++
		}
	}
	if len(order) < 100 || served < len(order)/3 {
		return false, fmt.Errorf("only %d of %d requests were served", served, len(order))
	}
	summary := fmt.Sprintf("%d requests sent, %d served, %d runs; %d runs with a body that nobody sent, %d of them answered 200", len(order), served, len(runs), changed, accepted)
	c.logf("%s", summary)
	fmt.Println(summary)
	return changed > 0, nil
}
