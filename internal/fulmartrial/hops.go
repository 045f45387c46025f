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
	hopRounds        = 4000
	hopDuration      = 6 * time.Second
	hopClients       = 24
	hopKeys          = 64
	maxLatencyMicros = int64(time.Minute / time.Microsecond)
	histogramDigits  = 3
)

// path is a network path on which requests reach a target.
type path struct {
	name      string
	address   string                  // to which requests are sent
	latencies *hdrhistogram.Histogram // microseconds
}

// measureHops measures the latency of requests that are sent to a target
// directly, through the target's dispatcher, and through another daemon. The paths
// take turns, so that other work on the machine distorts all of them alike. Then it
// measures the CPU time that the daemons use for a request.
func (t *Trial) measureHops(ctx context.Context) error {
	latencyTable := newResultTable("hops", "path", "calls", "p50 ms", "p99 ms", "added p50 ms", "added p99 ms")
	rateTable := newResultTable("core", "path", "requests/s", "not served", "dispatcher: requests/s of a core", "entry: requests/s of a core")
	p := fleetSpec{
		daemonCount: 2, groups: []string{"ferries"}, queueLength: 200,
		services: []service{{name: "rota-board", targetCount: 4, slotCount: 64, idempotent: true}},
	}
	err := t.withFleet(ctx, p, func(f *fleet) error {
		// A direct request is not sent under a grant, so its target must be unfenced.
		direct, err := f.startTarget(ctx, "direct", "rota-board", false)
		if err != nil {
			return err
		}
		f.targets = append(f.targets, direct)
		if err := awaitOK(ctx, "http://"+direct.address+"/fulmarbend/grant"); err != nil {
			return err
		}
		dispatcher, entry, keys, err := f.findDispatchedKeys(ctx)
		if err != nil {
			return err
		}
		paths := []*path{{name: "direct", address: direct.address}, {name: "one hop", address: dispatcher.callerAddress}, {name: "two hops", address: entry.callerAddress}}
		if err := measureLatency(ctx, paths, keys, latencyTable); err != nil {
			return err
		}
		for _, p := range paths[1:] {
			if err := measureRate(ctx, p, keys, dispatcher, entry, rateTable); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	if err := t.writeTable(latencyTable); err != nil {
		return err
	}
	return t.writeTable(rateTable)
}

// findDispatchedKeys returns a dispatcher, the other daemon as entry, and keys
// whose targets the dispatcher serves.
func (f *fleet) findDispatchedKeys(ctx context.Context) (dispatcher, entry *daemon, keys []string, err error) {
	holders := map[string]*daemon{}
	for _, t := range f.targets[:4] {
		if holders[t.id], err = f.holder(ctx, t); err != nil {
			return nil, nil, nil, err
		}
	}
	dispatcher = holders[f.targets[0].id]
	for _, d := range f.daemons {
		if d != dispatcher {
			entry = d
		}
	}
	for i := 0; len(keys) < hopKeys && i < 100*hopKeys; i++ {
		key := "key-" + strconv.Itoa(i)
		target, err := sendRequest(ctx, entry.callerAddress, key)
		if err != nil {
			return nil, nil, nil, err
		}
		if holders[target] == dispatcher {
			keys = append(keys, key)
		}
	}
	return dispatcher, entry, keys, nil
}

// httpClient keeps an idle connection for each concurrent caller.
var httpClient = &http.Client{
	Timeout:   5 * time.Second,
	Transport: &http.Transport{MaxIdleConnsPerHost: hopClients},
}

// sendRequest sends a request that takes no work and returns the id of the target
// that served it.
func sendRequest(ctx context.Context, address, key string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/rota-board/read", nil)
	if err != nil {
		return "", errors.Wrap(err, "fulmartrial: create request")
	}
	id, err := uuid.NewV7()
	if err != nil {
		return "", errors.Wrap(err, "fulmartrial: create request id")
	}
	req.Header.Set(fulmaroutcome.HeaderKey, key)
	req.Header.Set(fulmaroutcome.HeaderGroup, "ferries")
	req.Header.Set(fulmaroutcome.HeaderRequestID, id.String())
	req.Header.Set(fulmarserver.HeaderSize, "512")
	resp, err := httpClient.Do(req)
	if err != nil {
		return "", errors.Wrap(err, "fulmartrial: send request")
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", errors.Wrap(err, "fulmartrial: read response")
	}
	var a fulmarserver.Answer
	if resp.StatusCode != http.StatusOK || json.Unmarshal(b, &a) != nil {
		return "", errors.Errorf("fulmartrial: request failed with status %d: %.100s", resp.StatusCode, b)
	}
	return a.Target, nil
}

// measureLatency sends hopRounds requests one after the other on each path.
func measureLatency(ctx context.Context, paths []*path, keys []string, table *resultTable) error {
	for _, p := range paths {
		p.latencies = hdrhistogram.New(1, maxLatencyMicros, histogramDigits)
	}
	for i := range hopRounds {
		for _, p := range paths {
			start := time.Now()
			if _, err := sendRequest(ctx, p.address, keys[i%len(keys)]); err != nil {
				return err
			}
			if err := p.latencies.RecordValue(time.Since(start).Microseconds()); err != nil {
				return errors.Wrap(err, "fulmartrial: record latency")
			}
		}
	}
	quantile := func(p *path, q float64) time.Duration {
		return time.Duration(p.latencies.ValueAtQuantile(q)) * time.Microsecond
	}
	for _, p := range paths {
		table.addRow(p.name, hopRounds, quantile(p, 50), quantile(p, 99),
			quantile(p, 50)-quantile(paths[0], 50), quantile(p, 99)-quantile(paths[0], 99))
	}
	return nil
}

// measureRate sends requests from hopClients concurrent callers for hopDuration,
// each as fast as it can.
func measureRate(ctx context.Context, p *path, keys []string, dispatcher, entry *daemon, table *resultTable) error {
	var before, after [2]usage
	readUsages := func(dst *[2]usage) error {
		for i, d := range []*daemon{dispatcher, entry} {
			var err error
			if dst[i], err = readUsage(d.process.PID()); err != nil {
				return err
			}
		}
		return nil
	}
	if err := readUsages(&before); err != nil {
		return err
	}
	var done, failed atomic.Int64
	start := time.Now()
	var callers sync.WaitGroup
	for i := range hopClients {
		callers.Go(func() {
			for n := i; time.Since(start) < hopDuration && ctx.Err() == nil; n++ {
				if _, err := sendRequest(ctx, p.address, keys[n%len(keys)]); err != nil {
					failed.Add(1)
				} else {
					done.Add(1)
				}
			}
		})
	}
	callers.Wait()
	seconds := time.Since(start).Seconds()
	if err := readUsages(&after); err != nil {
		return err
	}
	requestsPerCore := func(i int) string {
		cpu := (after[i].cpu - before[i].cpu).Seconds()
		if i == 1 && p.address == dispatcher.callerAddress {
			return "-"
		}
		return fmt.Sprintf("%.0f", float64(done.Load())/cpu)
	}
	table.addRow(p.name, float64(done.Load())/seconds, failed.Load(), requestsPerCore(0), requestsPerCore(1))
	return nil
}
