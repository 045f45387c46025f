package fulmartrial

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarserver"
	"github.com/fulmarbend/fulmarbend/pkg/fulmaroutcome"
)

const (
	hopRounds  = 4000
	hopSpan    = 6 * time.Second
	hopClients = 24
	hopKeys    = 64
	maxMicros  = int64(time.Minute / time.Microsecond)
	digits     = 3
)

// path is a way to a target.
type path struct {
	name    string
	address string
	latency *hdrhistogram.Histogram // microseconds
}

// hops measures the latency of a call to a target directly, over its dispatcher
// and over another daemon, in turns so that other work distorts all alike, and
// then the CPU of the daemons for a request.
func (t *Trial) hops(ctx context.Context) error {
	latency := newTable("hops", "path", "calls", "p50 ms", "p99 ms", "added p50 ms", "added p99 ms")
	rate := newTable("core", "path", "requests/s", "not served", "dispatcher: requests/s of a core", "entry: requests/s of a core")
	p := plan{
		daemons: 2, groups: []string{"ferries"}, queue: 200,
		services: []service{{name: "rota-board", targets: 4, slots: 64, idempotent: true}},
	}
	err := t.fleet(ctx, p, func(f *fleet) error {
		// A direct call has no grant, so that its target must not check one.
		direct, err := f.startTarget(ctx, "direct", "rota-board", false)
		if err != nil {
			return err
		}
		f.targets = append(f.targets, direct)
		if err := await(ctx, "http://"+direct.address+"/fulmarbend/grant"); err != nil {
			return err
		}
		dispatcher, entry, keys, err := f.heldKeys(ctx)
		if err != nil {
			return err
		}
		paths := []*path{{name: "direct", address: direct.address}, {name: "one hop", address: dispatcher.callers}, {name: "two hops", address: entry.callers}}
		if err := measureLatency(ctx, paths, keys, latency); err != nil {
			return err
		}
		for _, p := range paths[1:] {
			if err := measureRate(ctx, p, keys, dispatcher, entry, rate); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	if err := t.print(latency); err != nil {
		return err
	}
	return t.print(rate)
}

// heldKeys returns a daemon, the other one, and keys whose targets the first dispatches.
func (f *fleet) heldKeys(ctx context.Context) (dispatcher, entry *member, keys []string, err error) {
	holders := map[string]*member{}
	for _, t := range f.targets[:4] {
		if holders[t.id], err = f.holder(ctx, t); err != nil {
			return nil, nil, nil, err
		}
	}
	dispatcher = holders[f.targets[0].id]
	for _, m := range f.members {
		if m != dispatcher {
			entry = m
		}
	}
	for i := 0; len(keys) < hopKeys && i < 100*hopKeys; i++ {
		key := "key-" + strconv.Itoa(i)
		target, err := send(ctx, entry.callers, key)
		if err != nil {
			return nil, nil, nil, err
		}
		if holders[target] == dispatcher {
			keys = append(keys, key)
		}
	}
	return dispatcher, entry, keys, nil
}

// client keeps enough connections for all callers of the measurement.
var client = &http.Client{
	Timeout:   5 * time.Second,
	Transport: &http.Transport{MaxIdleConnsPerHost: hopClients},
}

// send sends a request without work and returns the target that served it.
func send(ctx context.Context, address, key string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/rota-board/read", nil)
	if err != nil {
		return "", errors.Wrap(err, "fulmartrial: send")
	}
	id, err := uuid.NewV7()
	if err != nil {
		return "", errors.Wrap(err, "fulmartrial: request id")
	}
	req.Header.Set(fulmaroutcome.HeaderKey, key)
	req.Header.Set(fulmaroutcome.HeaderGroup, "ferries")
	req.Header.Set(fulmaroutcome.HeaderRequestID, id.String())
	req.Header.Set(fulmarserver.HeaderSize, "512")
	resp, err := client.Do(req)
	if err != nil {
		return "", errors.Wrap(err, "fulmartrial: send")
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", errors.Wrap(err, "fulmartrial: receive")
	}
	var a fulmarserver.Answer
	if resp.StatusCode != http.StatusOK || json.Unmarshal(b, &a) != nil {
		return "", errors.Errorf("fulmartrial: status %d: %.100s", resp.StatusCode, b)
	}
	return a.Target, nil
}

func measureLatency(ctx context.Context, paths []*path, keys []string, table *table) error {
	for _, p := range paths {
		p.latency = hdrhistogram.New(1, maxMicros, digits)
	}
	for i := range hopRounds {
		for _, p := range paths {
			start := time.Now()
			if _, err := send(ctx, p.address, keys[i%len(keys)]); err != nil {
				return err
			}
			if err := p.latency.RecordValue(time.Since(start).Microseconds()); err != nil {
				return errors.Wrap(err, "fulmartrial: record")
			}
		}
	}
	quantile := func(p *path, q float64) time.Duration {
		return time.Duration(p.latency.ValueAtQuantile(q)) * time.Microsecond
	}
	for _, p := range paths {
		table.add(p.name, hopRounds, quantile(p, 50), quantile(p, 99),
			quantile(p, 50)-quantile(paths[0], 50), quantile(p, 99)-quantile(paths[0], 99))
	}
	return nil
}

// measureRate sends as much as a fixed number of callers can in a span.
func measureRate(ctx context.Context, p *path, keys []string, dispatcher, entry *member, table *table) error {
	var before, after [2]usage
	read := func(dst *[2]usage) error {
		for i, m := range []*member{dispatcher, entry} {
			var err error
			if dst[i], err = usageOf(m.process.PID()); err != nil {
				return err
			}
		}
		return nil
	}
	if err := read(&before); err != nil {
		return err
	}
	var done, failed atomic.Int64
	start := time.Now()
	var callers sync.WaitGroup
	for i := range hopClients {
		callers.Go(func() {
			for n := i; time.Since(start) < hopSpan && ctx.Err() == nil; n++ {
				if _, err := send(ctx, p.address, keys[n%len(keys)]); err != nil {
					failed.Add(1)
				} else {
					done.Add(1)
				}
			}
		})
	}
	callers.Wait()
	took := time.Since(start).Seconds()
	if err := read(&after); err != nil {
		return err
	}
	core := func(i int) string {
		cpu := (after[i].cpu - before[i].cpu).Seconds()
		if i == 1 && p.address == dispatcher.callers {
			return "-"
		}
		return fmt.Sprintf("%.0f", float64(done.Load())/cpu)
	}
	table.add(p.name, float64(done.Load())/took, failed.Load(), core(0), core(1))
	return nil
}
