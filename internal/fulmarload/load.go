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
	minSize      = 512 // bytes of an answer; holds the longest fixed part
	maxAnswer    = 64 << 20
	maxMicros    = int64(time.Minute / time.Microsecond)
	digits       = 3
	callerGrace  = 2 * time.Second // beyond the request's own timeout
	failed       = "error"         // outcome of an attempt without a whole answer
	minIntervals = 1e-3
)

// Group is a group's load on one service.
type Group struct {
	Name       string
	Service    string
	AtMostOnce bool    // the service runs a request at most once
	Rate       float64 // requests a second
	LongShare  float64 // share of long requests
}

// Settings describe a run.
type Settings struct {
	Seed              uint64
	Daemons           []string // host:port of the callers' listeners
	Groups            []Group
	Duration          time.Duration
	KeysPerService    int     // keys of each service, chosen uniformly
	HotKeysPerService int     // hot keys of each service
	HotShare          float64 // share of requests for hot keys
	EvenIntervals     bool    // even intervals, with the hot keys and the daemons in turn, so that each key is asked for at bounded intervals
	ShortWork         time.Duration
	LongWork          time.Duration
	Timeout           time.Duration // of each attempt
	MaxAttempts       int           // most attempts of a request
	MeanRetryDelay    time.Duration // mean pause before another attempt
	MaxInFlight       int           // most requests in flight; more are counted as dropped
}

// Counts are final outcomes of requests by group and outcome.
type Counts map[string]map[string]int

// Result is what a run measured.
type Result struct {
	Counts           Counts
	UnservedAttempts map[string]int // by outcome and reason, of all attempts
	Dropped          int            // not sent because of InFlight
	ShortLatency     *hdrhistogram.Histogram
	LongLatency      *hdrhistogram.Histogram // both in microseconds, of served requests
	Calls            []fulmarhistory.Call
	Attempts         int
}

// Load is one load generator.
type Generator struct {
	settings Settings
	log      *fulmarhistory.Log
	client   *http.Client
	slots    chan struct{}

	mu     sync.Mutex
	result Result
}

// New returns a generator that writes each attempt to log.
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
		slots:    make(chan struct{}, settings.MaxInFlight),
		result: Result{
			Counts: Counts{}, UnservedAttempts: map[string]int{},
			ShortLatency: hdrhistogram.New(1, maxMicros, digits),
			LongLatency:  hdrhistogram.New(1, maxMicros, digits),
		},
	}
}

// Run sends the load until the duration is over or ctx ends, and waits for the answers.
func (l *Generator) Run(ctx context.Context) Result {
	var senders, requests sync.WaitGroup
	ctx, cancel := context.WithTimeout(ctx, l.settings.Duration)
	defer cancel()
	for i, g := range l.settings.Groups {
		source := rand.New(rand.NewPCG(l.settings.Seed, uint64(i)))
		senders.Go(func() { l.send(ctx, g, source, i, &requests) })
	}
	senders.Wait()
	requests.Wait()
	l.client.CloseIdleConnections()
	return l.result
}

// request is one request with its random choices made, so that a seed gives the
// same requests whatever the answers are.
type request struct {
	group   Group
	key     string
	long    bool
	daemons []string
	pauses  []time.Duration
}

func (l *Generator) draw(g Group, source *rand.Rand, n, turn int) request {
	q := request{group: g, long: source.Float64() < g.LongShare}
	q.key = "key-" + strconv.Itoa(source.IntN(max(1, l.settings.KeysPerService)))
	if l.settings.HotKeysPerService > 0 && source.Float64() < l.settings.HotShare {
		q.key = "hot-" + strconv.Itoa(source.IntN(l.settings.HotKeysPerService))
	}
	for range l.settings.MaxAttempts {
		q.daemons = append(q.daemons, l.settings.Daemons[source.IntN(len(l.settings.Daemons))])
		q.pauses = append(q.pauses, time.Duration(2*source.Float64()*float64(l.settings.MeanRetryDelay)))
	}
	if l.settings.EvenIntervals {
		q.key = "hot-" + strconv.Itoa(n%max(1, l.settings.HotKeysPerService))
		q.daemons[0] = l.settings.Daemons[(n+turn)%len(l.settings.Daemons)]
	}
	return q
}

// send starts the requests of one group with exponential or even intervals.
func (l *Generator) send(ctx context.Context, g Group, source *rand.Rand, turn int, requests *sync.WaitGroup) {
	next := time.Now()
	if l.settings.EvenIntervals {
		// Groups ask for a key at different times and through different daemons.
		cycle := float64(l.settings.HotKeysPerService) / max(g.Rate, minIntervals)
		next = next.Add(time.Duration(float64(turn) / float64(len(l.settings.Groups)) * cycle * float64(time.Second)))
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
		q := l.draw(g, source, n, turn)
		due := next
		interval := source.ExpFloat64()
		if l.settings.EvenIntervals {
			interval = 1
		}
		next = next.Add(time.Duration(interval / max(g.Rate, minIntervals) * float64(time.Second)))
		select {
		case l.slots <- struct{}{}:
			requests.Go(func() {
				defer func() { <-l.slots }()
				l.request(q, due)
			})
		default:
			l.mu.Lock()
			l.result.Dropped++
			l.mu.Unlock()
		}
	}
}

// request sends one request until it is served or its attempts are used up. Its
// latency counts from when it was due, so that a late sender hides nothing.
func (l *Generator) request(q request, due time.Time) {
	id := uuid.Must(uuid.NewV7()).String()
	outcome := ""
	for i := range l.settings.MaxAttempts {
		if i > 0 {
			time.Sleep(q.pauses[i])
		}
		c := l.attempt(q, id, i)
		l.keep(c)
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
	if q.long {
		histogram = l.result.LongLatency
	}
	_ = histogram.RecordValue(min(maxMicros, time.Since(due).Microseconds()))
}

func (l *Generator) keep(c fulmarhistory.Call) {
	_ = l.log.Append(c)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Attempts++
	l.result.Calls = append(l.result.Calls, c)
	if c.Outcome != string(fulmaroutcome.Served) {
		l.result.UnservedAttempts[c.Outcome+" "+c.Reason]++
	}
}

// attempt sends one attempt and returns its line of the log.
func (l *Generator) attempt(q request, id string, n int) fulmarhistory.Call {
	c := fulmarhistory.Call{
		ID: id, Group: q.group.Name, Service: q.group.Service, Key: q.key, Kind: "short",
		AtMostOnce: q.group.AtMostOnce, Attempt: n + 1, Outcome: failed, WantLength: minSize,
	}
	path, work := "read", l.settings.ShortWork
	if q.long {
		c.Kind, path, work = "long", "run", l.settings.LongWork
	}
	ctx, cancel := context.WithTimeout(context.Background(), l.settings.Timeout+callerGrace)
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

// exchange sends req and fills in what came back.
func (l *Generator) exchange(req *http.Request, c *fulmarhistory.Call) {
	resp, err := l.client.Do(req)
	if err != nil {
		c.Reason = "connection"
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
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
		// The daemon passed on a whole answer, but it is a target's error.
		c.Outcome, c.Reason = failed, "status "+strconv.Itoa(resp.StatusCode)
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
