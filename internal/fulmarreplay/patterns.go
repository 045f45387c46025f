package fulmarreplay

import "time"

// rotaPattern returns a load on the users' first keyed service.
func rotaPattern(name string, rate float64) Pattern {
	return Pattern{
		Name: name, Rate: rate, Amplitude: 0.55, Period: 13 * time.Second, Duration: 30 * time.Second, ZipfExponent: 0.654,
		ServiceTime: ServiceTime{Mean: 76 * time.Millisecond, LogSigma: 0.3, TailShare: 0.03, TailFactor: 7, Max: 810 * time.Millisecond},
		Targets:     21, TargetSpeeds: []float64{0.5, 1, 1, 1.5}, Slots: 3, Queue: 12, Daemons: 27,
		Goal: 300 * time.Millisecond, Timeout: 800 * time.Millisecond, LateWorth: 0.5, MoveCost: 77,
	}
}

// cataloguePattern returns a load on the users' second keyed service, whose targets do not
// answer requests when they are full.
func cataloguePattern(name string, rate float64) Pattern {
	return Pattern{
		Name: name, Rate: rate, Amplitude: 0.55, Period: 17 * time.Second, Duration: 30 * time.Second, ZipfExponent: 0.637,
		ServiceTime: ServiceTime{Mean: 100 * time.Millisecond, LogSigma: 0.8, TailShare: 0.03, TailFactor: 7, Max: 1100 * time.Millisecond},
		Targets:     24, TargetSpeeds: []float64{0.7, 0.7, 1.6}, Slots: 3, Queue: 12, HangsWhenFull: true, Daemons: 27,
		Goal: 400 * time.Millisecond, Timeout: 800 * time.Millisecond, LateWorth: 0.1, MoveCost: 58,
	}
}

// taggingPattern returns a load on the keyed service of the third users, whose targets have more slots and do not answer
// requests when they are full.
func taggingPattern(name string, rate float64) Pattern {
	return Pattern{
		Name: name, Rate: rate, Amplitude: 0.15, Period: 11 * time.Second, Duration: 30 * time.Second, ZipfExponent: 0.632,
		ServiceTime: ServiceTime{Mean: 240 * time.Millisecond, LogSigma: 0.5, TailShare: 0.01, TailFactor: 3, Max: 1300 * time.Millisecond},
		Targets:     25, TargetSpeeds: []float64{0.6, 1, 1.4}, Slots: 6, Queue: 24, HangsWhenFull: true, Daemons: 21,
		Goal: 500 * time.Millisecond, Timeout: 2 * time.Second, LateWorth: 0.04, MoveCost: 60,
	}
}

// boardsPattern returns a load on a keyed service of a large fleet whose targets share their machines with others, so that a
// fifth of them is three times slower at any moment.
func boardsPattern(name string, rate float64) Pattern {
	return Pattern{
		Name: name, Rate: rate, Amplitude: 0.15, Period: 11 * time.Second, Duration: 20 * time.Second, ZipfExponent: 0.387,
		ServiceTime: ServiceTime{Mean: 150 * time.Millisecond, LogSigma: 0.3, TailShare: 0.01, TailFactor: 5, Max: 1100 * time.Millisecond},
		Targets:     164, TargetSpeeds: []float64{0.7, 0.7, 1.6}, Slots: 3, Queue: 12, Daemons: 144,
		Noise: Noise{Share: 0.2, Factor: 3, Every: 400 * time.Millisecond},
		Goal:  800 * time.Millisecond, Timeout: 1500 * time.Millisecond, LateWorth: 0.11, MoveCost: 240,
	}
}

// desksPattern returns a load on a service without keys of the same fleet.
func desksPattern(name string, rate float64) Pattern {
	return Pattern{
		Name: name, Rate: rate, Amplitude: 0.15, Period: 11 * time.Second, Duration: 20 * time.Second,
		ServiceTime: ServiceTime{Mean: 200 * time.Millisecond, LogSigma: 0.8, TailShare: 0.01, TailFactor: 5, Max: 1500 * time.Millisecond},
		Targets:     73, TargetSpeeds: []float64{0.7, 0.7, 1.6}, Slots: 3, Queue: 12, Daemons: 144,
		Noise: Noise{Share: 0.2, Factor: 3, Every: 400 * time.Millisecond},
		Goal:  800 * time.Millisecond, Timeout: 2 * time.Second, LateWorth: 0.31, MoveCost: 0,
	}
}

// Hot periods of a range of keys and of a single key.
var (
	hotRangePeriods = []HotPeriod{
		{Start: 4 * time.Second, Duration: 5 * time.Second, Share: 0.4, Keys: 200},
		{Start: 12 * time.Second, Duration: 4 * time.Second, Share: 0.37, Keys: 60},
	}
	hotKeyPeriods = []HotPeriod{
		{Start: 4 * time.Second, Duration: 5 * time.Second, Share: 0.4, Keys: 1},
		{Start: 12 * time.Second, Duration: 4 * time.Second, Share: 0.37, Keys: 1},
	}
)

// Bursts of many callers, up to more than twice the usual load.
var burstPeriods = []BurstPeriod{
	{Start: 4 * time.Second, Duration: 4 * time.Second, Factor: 1.8},
	{Start: 12 * time.Second, Duration: 4 * time.Second, Factor: 2.4},
}

// with returns a copy of p to which change was applied.
func (p Pattern) with(change func(*Pattern)) Pattern {
	change(&p)
	return p
}

// Patterns returns the loads on which policies are compared.
func Patterns() []Pattern {
	return []Pattern{
		rotaPattern("rota-quiet", 200),
		rotaPattern("rota-quiet-range", 200).with(func(p *Pattern) { p.HotPeriods = hotRangePeriods }),
		rotaPattern("rota-crest-range", 400).with(func(p *Pattern) { p.HotPeriods = hotRangePeriods }),
		rotaPattern("rota-crest-key", 400).with(func(p *Pattern) { p.HotPeriods = hotKeyPeriods }),
		rotaPattern("rota-crest-slow", 330).with(func(p *Pattern) {
			p.SlowPeriods = []SlowPeriod{{Start: 8 * time.Second, Duration: 8 * time.Second, TargetShare: 0.4, Factor: 5}}
		}),
		rotaPattern("rota-crest-shed", 400).with(func(p *Pattern) {
			p.ShedPeriods = []ShedPeriod{{Start: 13 * time.Second, Duration: 8 * time.Second, Share: 0.55}}
		}),
		cataloguePattern("catalogue-quiet", 148),
		cataloguePattern("catalogue-quiet-range", 148).with(func(p *Pattern) { p.HotPeriods = hotRangePeriods }),
		cataloguePattern("catalogue-crest-range", 360).with(func(p *Pattern) { p.HotPeriods = hotRangePeriods }),
		cataloguePattern("catalogue-crest-key", 360).with(func(p *Pattern) { p.HotPeriods = hotKeyPeriods }),
		taggingPattern("tagging-quiet", 240),
		taggingPattern("tagging-quiet-key", 240).with(func(p *Pattern) { p.HotPeriods = hotKeyPeriods }),
		taggingPattern("tagging-crest-range", 400).with(func(p *Pattern) { p.HotPeriods = hotRangePeriods }),
		boardsPattern("boards", 1600),
		boardsPattern("boards-burst", 1600).with(func(p *Pattern) { p.BurstPeriods = burstPeriods }),
		boardsPattern("boards-burst-twice", 1900).with(func(p *Pattern) { p.BurstPeriods = burstPeriods }),
		desksPattern("desks", 540),
		desksPattern("desks-busy", 640),
		cataloguePattern("catalogue-crest-slow", 300).with(func(p *Pattern) {
			p.SlowPeriods = []SlowPeriod{{Start: 8 * time.Second, Duration: 8 * time.Second, TargetShare: 0.4, Factor: 5}}
		}),
	}
}
