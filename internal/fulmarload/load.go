package fulmarload

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"github.com/fulmarbend/fulmarbend/internal/fulmarhistory"
	"github.com/fulmarbend/fulmarbend/internal/fulmarserver"
	"github.com/fulmarbend/fulmarbend/pkg/fulmaroutcome"
)

const (
	answerBytes       = 512 // requested length of an answer; the longest fixed part fits in it
	maxAnswerBytes    = 64 << 20
	maxLatencyMicros  = int64(time.Minute / time.Microsecond)
	significantDigits = 3               // precision of the latency histograms
	clientGrace       = 2 * time.Second // added to the request timeout before the client gives up
	outcomeError      = "error"         // outcome of an attempt without a complete answer
	minRate           = 1e-3            // requests a second; avoids a division by zero
)

// Group describes the load that one group puts on one service.
type Group struct {
	Name       string
	Service    string
	AtMostOnce bool    // the service runs a request at most once
	Rate       float64 // requests a second
	LongShare  float64 // share of long requests
}

// Settings configure a run.
type Settings struct {
	Seed              uint64
	Daemons           []string // host:port of the listeners for callers
	Groups            []Group
	Duration          time.Duration
	KeysPerService    int     // chosen uniformly
	HotKeysPerService int     // receive HotShare of the requests
	HotShare          float64 // between 0 and 1
	EvenIntervals     bool    // send at even intervals, with hot keys and daemons in rotation, which bounds the time between requests for a key
	ShortWork         time.Duration
	LongWork          time.Duration
	Timeout           time.Duration // of each attempt
	MaxAttempts       int           // of a request, including the first
	MeanRetryDelay    time.Duration // before another attempt
	MaxInFlight       int           // requests beyond it are dropped and counted
}

// Counts holds the number of requests by "group/service" and final outcome.
type Counts map[string]map[string]int

// Result holds the measurements of a run.
type Result struct {
	Counts           Counts
	UnservedAttempts map[string]int // number of attempts that were not served, by "outcome reason"
	Dropped          int            // not sent because MaxInFlight was reached
	ShortLatency     *hdrhistogram.Histogram
	LongLatency      *hdrhistogram.Histogram // both latencies in microseconds, of served requests
	Calls            []fulmarhistory.Call
	Attempts         int
}

// Generator sends the load of one run.
type Generator struct {
	settings Settings
	log      *fulmarhistory.Log
	client   *http.Client
	inFlight chan struct{}

	mu     sync.Mutex
	result Result
}

// New returns a generator that appends each attempt to log.
func New(settings Settings, log *fulmarhistory.Log) *Generator {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: settings.MaxInFlight,
		DisableCompression:  true,
	}
	return &Generator{
		settings: settings,
		log:      log,
		client:   &http.Client{Transport: transport},
		inFlight: make(chan struct{}, settings.MaxInFlight),
		result: Result{
			Counts: Counts{}, UnservedAttempts: map[string]int{},
			ShortLatency: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
			LongLatency:  hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		},
	}
}

// Run sends the load until the duration has passed or ctx ends, and waits for the answers.
func (l *Generator) Run(ctx context.Context) Result {
	var senders, requests sync.WaitGroup
	ctx, cancel := context.WithTimeout(ctx, l.settings.Duration)
	defer cancel()
	for i, g := range l.settings.Groups {
		source := rand.New(rand.NewPCG(l.settings.Seed, uint64(i)))
		senders.Go(func() { l.sendGroup(ctx, g, source, i, &requests) })
	}
	senders.Wait()
	requests.Wait()
	l.client.CloseIdleConnections()
	return l.result
}

// request is a request with all its random choices. They are made in advance, so
// that a seed gives the same requests whatever the answers are.
type request struct {
	group       Group
	key         string
	isLong      bool
	daemons     []string
	retryDelays []time.Duration
}

// newRequest makes the random choices of the n-th request of a group. With
// EvenIntervals, the key and the first daemon follow from n and groupIndex instead.
func (l *Generator) newRequest(g Group, source *rand.Rand, n, groupIndex int) request {
	q := request{group: g, isLong: source.Float64() < g.LongShare}
	q.key = "key-" + strconv.Itoa(source.IntN(max(1, l.settings.KeysPerService)))
	if l.settings.HotKeysPerService > 0 && source.Float64() < l.settings.HotShare {
		q.key = "hot-" + strconv.Itoa(source.IntN(l.settings.HotKeysPerService))
	}
	for range l.settings.MaxAttempts {
		q.daemons = append(q.daemons, l.settings.Daemons[source.IntN(len(l.settings.Daemons))])
		q.retryDelays = append(q.retryDelays, time.Duration(2*source.Float64()*float64(l.settings.MeanRetryDelay)))
	}
	if l.settings.EvenIntervals {
		q.key = "hot-" + strconv.Itoa(n%max(1, l.settings.HotKeysPerService))
		q.daemons[0] = l.settings.Daemons[(n+groupIndex)%len(l.settings.Daemons)]
	}
	return q
}

// sendGroup sends the requests of one group at exponential or even intervals.
func (l *Generator) sendGroup(ctx context.Context, g Group, source *rand.Rand, groupIndex int, requests *sync.WaitGroup) {
	next := time.Now()
	if l.settings.EvenIntervals {
		// Offsets the groups, so that they request a key at different times and through different daemons.
		cycle := float64(l.settings.HotKeysPerService) / max(g.Rate, minRate)
		next = next.Add(time.Duration(float64(groupIndex) / float64(len(l.settings.Groups)) * cycle * float64(time.Second)))
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for n := 0; ; n++ {
		timer.Reset(time.Until(next))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		q := l.newRequest(g, source, n, groupIndex)
		due := next
		interval := source.ExpFloat64()
		if l.settings.EvenIntervals {
			interval = 1
		}
		next = next.Add(time.Duration(interval / max(g.Rate, minRate) * float64(time.Second)))
		select {
		case l.inFlight <- struct{}{}:
			requests.Go(func() {
				defer func() { <-l.inFlight }()
				l.sendRequest(q, due)
			})
		default:
			l.mu.Lock()
			l.result.Dropped++
			l.mu.Unlock()
		}
	}
}

// sendRequest sends one request until it is served or its attempts are used up.
// Latency is measured from the scheduled time, so that delays of the sender are
// included (no coordinated omission).
func (l *Generator) sendRequest(q request, due time.Time) {
	id := uuid.Must(uuid.NewV7()).String()
	outcome := ""
	for i := range l.settings.MaxAttempts {
		if i > 0 {
			time.Sleep(q.retryDelays[i])
		}
		c := l.sendAttempt(q, id, i)
		l.recordAttempt(c)
		outcome = c.Outcome
		if outcome == string(fulmaroutcome.Served) {
			break
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	group := q.group.Name + "/" + q.group.Service
	if l.result.Counts[group] == nil {
		l.result.Counts[group] = map[string]int{}
	}
	l.result.Counts[group][outcome]++
	if outcome != string(fulmaroutcome.Served) {
		return
	}
	histogram := l.result.ShortLatency
	if q.isLong {
		histogram = l.result.LongLatency
	}
	_ = histogram.RecordValue(min(maxLatencyMicros, time.Since(due).Microseconds()))
}

// recordAttempt appends an attempt to the log and to the result.
func (l *Generator) recordAttempt(c fulmarhistory.Call) {
	_ = l.log.Append(c)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Attempts++
	l.result.Calls = append(l.result.Calls, c)
	if c.Outcome != string(fulmaroutcome.Served) {
		l.result.UnservedAttempts[c.Outcome+" "+c.Reason]++
	}
}

// sendAttempt sends one attempt and returns its line for the log.
func (l *Generator) sendAttempt(q request, id string, n int) fulmarhistory.Call {
	c := fulmarhistory.Call{
		ID: id, Group: q.group.Name, Service: q.group.Service, Key: q.key, Kind: "short",
		AtMostOnce: q.group.AtMostOnce, Attempt: n + 1, Outcome: outcomeError, WantLength: answerBytes,
	}
	path, work := "read", l.settings.ShortWork
	if q.isLong {
		c.Kind, path, work = "long", "run", l.settings.LongWork
	}
	ctx, cancel := context.WithTimeout(context.Background(), l.settings.Timeout+clientGrace)
	defer cancel()
	url := fmt.Sprintf("http://%s/%s/%s", q.daemons[n], q.group.Service, path)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		c.Reason = err.Error()
		return c
	}
	for name, value := range map[string]string{
		fulmaroutcome.HeaderKey:       q.key,
		fulmaroutcome.HeaderGroup:     q.group.Name,
		fulmaroutcome.HeaderRequestID: id,
		fulmaroutcome.HeaderTimeout:   l.settings.Timeout.String(),
		fulmaroutcome.HeaderAttempt:   strconv.Itoa(n + 1),
		fulmarserver.HeaderWork:       work.String(),
		fulmarserver.HeaderSize:       strconv.Itoa(c.WantLength),
	} {
		req.Header.Set(name, value)
	}
	c.Start = time.Now().UnixNano()
	l.exchange(req, &c)
	c.End = time.Now().UnixNano()
	return c
}

// exchange sends req and fills in the result of the call.
func (l *Generator) exchange(req *http.Request, c *fulmarhistory.Call) {
	resp, err := l.client.Do(req)
	if err != nil {
		c.Reason = "connection"
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	c.Status, c.Length = resp.StatusCode, len(body)
	if err != nil {
		c.Reason = "body"
		return
	}
	if outcome := resp.Header.Get(fulmaroutcome.HeaderOutcome); outcome != "" {
		c.Outcome = outcome
	}
	c.Reason = resp.Header.Get(fulmaroutcome.HeaderReason)
	if c.Outcome != string(fulmaroutcome.Served) {
		return
	}
	if resp.StatusCode != http.StatusOK {
		// The daemon forwarded a complete answer, but it is an error of the target.
		c.Outcome, c.Reason = outcomeError, "status "+strconv.Itoa(resp.StatusCode)
		return
	}
	var a fulmarserver.Answer
	if json.Unmarshal(body, &a) == nil {
		c.AnswerID = a.ID
	}
}

// Print writes the counts and latencies in a fixed order.
func (r Result) Print(w io.Writer) {
	fmt.Fprintln(w, "requests by group, service and final outcome:")
	for _, group := range slices.Sorted(maps.Keys(r.Counts)) {
		fmt.Fprintf(w, "  %-36s", group)
		for _, outcome := range slices.Sorted(maps.Keys(r.Counts[group])) {
			fmt.Fprintf(w, " %s=%d", outcome, r.Counts[group][outcome])
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintf(w, "attempts: %d, not sent for want of callers: %d\n", r.Attempts, r.Dropped)
	for _, reason := range slices.Sorted(maps.Keys(r.UnservedAttempts)) {
		fmt.Fprintf(w, "  attempts that ended %s: %d\n", reason, r.UnservedAttempts[reason])
	}
	for _, h := range []struct {
		name      string
		histogram *hdrhistogram.Histogram
	}{{"short", r.ShortLatency}, {"long", r.LongLatency}} {
		fmt.Fprintf(w, "%s work: p50 %v, p99 %v\n", h.name,
			time.Duration(h.histogram.ValueAtQuantile(50))*time.Microsecond,
			time.Duration(h.histogram.ValueAtQuantile(99))*time.Microsecond)
	}
}
