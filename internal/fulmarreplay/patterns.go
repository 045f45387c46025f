package fulmarreplay

import "time"

// rota is the load on the users' first keyed service.
func rota(name string, rate float64) Pattern {
	return Pattern{
		Name: name, Rate: rate, Swing: 0.55, Period: 13 * time.Second, Length: 30 * time.Second, Skew: 0.654,
		Work:    Work{Mean: 76 * time.Millisecond, Spread: 0.3, Tail: 0.03, TailBy: 7, Max: 810 * time.Millisecond},
		Targets: 21, Speeds: []float64{0.5, 1, 1, 1.5}, Slots: 3, Queue: 12, Daemons: 27,
		Goal: 300 * time.Millisecond, Timeout: 800 * time.Millisecond, Late: 0.5, Moved: 77,
	}
}

// catalogue is the load on the users' second keyed service, whose targets do not answer when they are full.
func catalogue(name string, rate float64) Pattern {
	return Pattern{
		Name: name, Rate: rate, Swing: 0.55, Period: 17 * time.Second, Length: 30 * time.Second, Skew: 0.637,
		Work:    Work{Mean: 100 * time.Millisecond, Spread: 0.8, Tail: 0.03, TailBy: 7, Max: 1100 * time.Millisecond},
		Targets: 24, Speeds: []float64{0.7, 0.7, 1.6}, Slots: 3, Queue: 12, Hangs: true, Daemons: 27,
		Goal: 400 * time.Millisecond, Timeout: 800 * time.Millisecond, Late: 0.1, Moved: 58,
	}
}

var (
	hotRange = []Hot{
		{At: 4 * time.Second, For: 5 * time.Second, Share: 0.4, Keys: 200},
		{At: 12 * time.Second, For: 4 * time.Second, Share: 0.37, Keys: 60},
	}
	hotKey = []Hot{
		{At: 4 * time.Second, For: 5 * time.Second, Share: 0.4, Keys: 1},
		{At: 12 * time.Second, For: 4 * time.Second, Share: 0.37, Keys: 1},
	}
)

// with returns a copy of p with changes.
func (p Pattern) with(change func(*Pattern)) Pattern {
	change(&p)
	return p
}

// Patterns are the loads that decisions are measured on.
func Patterns() []Pattern {
	return []Pattern{
		rota("rota-quiet", 200),
		rota("rota-quiet-range", 200).with(func(p *Pattern) { p.Hot = hotRange }),
		rota("rota-crest-range", 400).with(func(p *Pattern) { p.Hot = hotRange }),
		rota("rota-crest-key", 400).with(func(p *Pattern) { p.Hot = hotKey }),
		rota("rota-crest-slow", 330).with(func(p *Pattern) {
			p.Slow = []Slow{{At: 8 * time.Second, For: 8 * time.Second, Targets: 0.4, Factor: 5}}
		}),
		rota("rota-crest-shed", 400).with(func(p *Pattern) {
			p.Shed = []Shed{{At: 13 * time.Second, For: 8 * time.Second, Share: 0.55}}
		}),
		catalogue("catalogue-quiet", 148),
		catalogue("catalogue-quiet-range", 148).with(func(p *Pattern) { p.Hot = hotRange }),
		catalogue("catalogue-crest-range", 360).with(func(p *Pattern) { p.Hot = hotRange }),
		catalogue("catalogue-crest-key", 360).with(func(p *Pattern) { p.Hot = hotKey }),
		catalogue("catalogue-crest-slow", 300).with(func(p *Pattern) {
			p.Slow = []Slow{{At: 8 * time.Second, For: 8 * time.Second, Targets: 0.4, Factor: 5}}
		}),
	}
}
