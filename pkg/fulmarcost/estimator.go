package fulmarcost

import (
	"container/list"
	"math"
	"strings"
	"sync"
	"time"
)

const (
	maxKinds     = 4096 // bounds memory to some megabytes
	weight       = 0.1  // of the latest observation in the means
	hysteresis   = 0.5  // share of the bound below which long work turns short
	kindMinimum  = 2    // observations before a kind can be long
	serviceUsual = 16   // observations before a median is trusted
)

type key struct{ service, kind string }

// record holds what was learnt about one kind of work.
type record struct {
	key     key
	service *service
	seen    int     // stops at the number that no longer matters
	mean    float64 // of the time, in seconds
	typical float64 // mean of the logarithm of the time
	long    bool
}

// service holds the median of a service.
type service struct {
	times histogram
	kinds int
}

// Estimator learns the server time of each kind of work; it is safe for concurrent use.
type Estimator struct {
	mu       sync.Mutex
	ratio    float64
	services map[string]*service
	kinds    map[key]*list.Element // of *record
	once     *list.List            // kinds seen once, latest first
	known    *list.List            // the others, latest first
}

// New returns an estimator that takes work as long from ratio times the median
// of its service. It panics unless ratio is over 1.
func New(ratio float64) *Estimator {
	if !(ratio > 1) {
		panic("fulmarcost: ratio must be over 1")
	}
	return &Estimator{
		ratio:    ratio,
		services: make(map[string]*service),
		kinds:    make(map[key]*list.Element),
		once:     list.New(),
		known:    list.New(),
	}
}

// Observe records the time that a request of a kind used. Negative times count as 0.
func (e *Estimator) Observe(service, kind string, used time.Duration) {
	used = max(used, 0)
	e.mu.Lock()
	defer e.mu.Unlock()
	k := e.touch(key{service, kind})
	k.service.times.add(used)
	k.learn(used)
	e.classify(k)
}

// touch returns the record of a kind and marks it as the latest.
func (e *Estimator) touch(name key) *record {
	if el := e.kinds[name]; el != nil {
		k := el.Value.(*record)
		if k.seen == 1 {
			e.once.Remove(el)
			e.kinds[name] = e.known.PushFront(k)
		} else {
			e.known.MoveToFront(el)
		}
		return k
	}
	if len(e.kinds) >= maxKinds {
		e.evict()
	}
	s := e.services[name.service]
	if s == nil {
		s = &service{}
		e.services[strings.Clone(name.service)] = s
	}
	s.kinds++
	// The strings may be parts of a long request line.
	name = key{strings.Clone(name.service), strings.Clone(name.kind)}
	k := &record{key: name, service: s}
	e.kinds[name] = e.once.PushFront(k)
	return k
}

func (e *Estimator) evict() {
	from := e.once
	if from.Len() == 0 {
		from = e.known
	}
	k := from.Remove(from.Back()).(*record)
	delete(e.kinds, k.key)
	if k.service.kinds--; k.service.kinds == 0 {
		delete(e.services, k.key.service)
	}
}

// learn moves the means of a kind.
func (k *record) learn(used time.Duration) {
	if float64(k.seen) < 1/weight {
		k.seen++
	}
	share := max(weight, 1/float64(k.seen))
	k.mean += share * (used.Seconds() - k.mean)
	k.typical += share * (math.Log(max(used, time.Microsecond).Seconds()) - k.typical)
}

// classify decides whether a kind is long.
func (e *Estimator) classify(k *record) {
	s := &k.service.times
	if k.seen < kindMinimum || s.total < serviceUsual {
		return
	}
	bound := math.Log(e.ratio * s.median().Seconds())
	if k.long {
		bound += math.Log(hysteresis)
	}
	k.long = k.typical >= bound
}

// Estimate returns the expected time of a kind and whether it is long work. It
// returns 0 for a service that was never observed.
func (e *Estimator) Estimate(service, kind string) (expected time.Duration, long bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if el := e.kinds[key{service, kind}]; el != nil {
		return el.Value.(*record).estimate()
	}
	if s := e.services[service]; s != nil {
		return s.times.median(), false
	}
	return 0, false
}

func (k *record) estimate() (time.Duration, bool) {
	return time.Duration(k.mean * float64(time.Second)), k.long
}

// Len returns the number of kinds held.
func (e *Estimator) Len() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.kinds)
}
