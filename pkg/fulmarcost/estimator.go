package fulmarcost

import (
	"container/list"
	"math"
	"strings"
	"sync"
	"time"
)

const (
	maxKinds               = 4096 // bounds memory to a few megabytes
	ewmaWeight             = 0.1  // weight of the latest observation in the means
	hysteresisRatio        = 0.5  // fraction of the bound below which long work becomes short
	minKindObservations    = 2    // observations before a kind can be long
	minServiceObservations = 16   // observations of a service before its median is used
)

type key struct{ service, kind string }

// record holds the statistics of one kind of work.
type record struct {
	key          key
	service      *service
	observations int     // not counted beyond 1/ewmaWeight, where it has no effect
	mean         float64 // of the time, in seconds
	logMean      float64 // mean of the logarithm of the time
	long         bool
}

// service holds the time histogram of a service and the number of its kinds.
type service struct {
	times histogram
	kinds int
}

// Estimator estimates the server time of each kind of work; it is safe for concurrent use.
type Estimator struct {
	mu             sync.Mutex
	ratio          float64
	services       map[string]*service
	kinds          map[key]*list.Element // of *record
	seenOnce       *list.List            // kinds observed once, most recent first
	seenRepeatedly *list.List            // the other kinds, most recent first
}

// New returns an estimator that classifies work as long from ratio times the
// median of its service. It panics unless ratio is greater than 1.
func New(ratio float64) *Estimator {
	if !(ratio > 1) {
		panic("fulmarcost: ratio must be greater than 1")
	}
	return &Estimator{
		ratio:          ratio,
		services:       make(map[string]*service),
		kinds:          make(map[key]*list.Element),
		seenOnce:       list.New(),
		seenRepeatedly: list.New(),
	}
}

// Observe records the time that a request of a kind used. Negative times count as 0.
func (e *Estimator) Observe(service, kind string, used time.Duration) {
	used = max(used, 0)
	e.mu.Lock()
	defer e.mu.Unlock()
	k := e.lookup(key{service, kind})
	k.service.times.add(used)
	k.updateMeans(used)
	e.classify(k)
}

// lookup returns the record of a kind, which it creates if missing, and marks it
// as most recently used.
func (e *Estimator) lookup(name key) *record {
	if el := e.kinds[name]; el != nil {
		k := el.Value.(*record)
		if k.observations == 1 {
			e.seenOnce.Remove(el)
			e.kinds[name] = e.seenRepeatedly.PushFront(k)
		} else {
			e.seenRepeatedly.MoveToFront(el)
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
	// Copies the strings: they may be substrings that keep a long request line
	// in memory.
	name = key{strings.Clone(name.service), strings.Clone(name.kind)}
	k := &record{key: name, service: s}
	e.kinds[name] = e.seenOnce.PushFront(k)
	return k
}

func (e *Estimator) evict() {
	from := e.seenOnce
	if from.Len() == 0 {
		from = e.seenRepeatedly
	}
	k := from.Remove(from.Back()).(*record)
	delete(e.kinds, k.key)
	if k.service.kinds--; k.service.kinds == 0 {
		delete(e.services, k.key.service)
	}
}

// updateMeans adds an observation to the means of a kind.
func (k *record) updateMeans(used time.Duration) {
	if float64(k.observations) < 1/ewmaWeight {
		k.observations++
	}
	share := max(ewmaWeight, 1/float64(k.observations))
	k.mean += share * (used.Seconds() - k.mean)
	k.logMean += share * (math.Log(max(used, time.Microsecond).Seconds()) - k.logMean)
}

// classify updates whether a kind is long, with hysteresis.
func (e *Estimator) classify(k *record) {
	s := &k.service.times
	if k.observations < minKindObservations || s.total < minServiceObservations {
		return
	}
	bound := math.Log(e.ratio * s.median().Seconds())
	if k.long {
		bound += math.Log(hysteresisRatio)
	}
	k.long = k.logMean >= bound
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
