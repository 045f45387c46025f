package fulmarreplay_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarreplay"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarassign"
)

const seed = 1

// pattern returns the load pattern with the name.
func pattern(t *testing.T, name string) fulmarreplay.Pattern {
	t.Helper()
	for _, p := range fulmarreplay.Patterns() {
		if p.Name == name {
			return p
		}
	}
	t.Fatalf("no load pattern is named %q", name)
	return fulmarreplay.Pattern{}
}

// worth simulates the pattern and returns the worth of the result.
func worth(p fulmarreplay.Pattern, policy fulmarassign.Policy, a fulmarreplay.Admission) float64 {
	return fulmarreplay.New(p, policy, a, seed).Run().Worth
}

// Guards against hot neighbouring keys that stay with one owner. Moves must more than
// halve the loss of worth that even ranges without moves have.
func TestMoves(t *testing.T) {
	still := fulmarassign.DefaultPolicy
	still.MaxMoves = 0
	for _, name := range []string{"rota-quiet-range", "rota-crest-range", "catalogue-crest-range"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := pattern(t, name)
			before := worth(p, still, fulmarreplay.NewDaemonLimit(4))
			after := worth(p, fulmarassign.DefaultPolicy, fulmarreplay.NewDaemonLimit(4))
			g.Expect(1 - after).To(BeNumerically("<", (1-before)/2))
		})
	}
}

// Guards against a key hot enough to load a target nearly alone that shares its target with other keys.
func TestHotKey(t *testing.T) {
	g := NewWithT(t)
	shared := fulmarassign.DefaultPolicy
	shared.HotKeyUtilisation = 1e9
	p := pattern(t, "catalogue-crest-key")
	g.Expect(worth(p, fulmarassign.DefaultPolicy, fulmarreplay.NewDaemonLimit(4))).To(BeNumerically(">", worth(p, shared, fulmarreplay.NewDaemonLimit(4))))
}

// Guards against a hot key whose requests wait at a target that can't do them until their deadline, where all daemons of a large
// fleet send there. With permits they are refused at once, and no fewer are answered within the goal.
func TestPermits(t *testing.T) {
	for _, name := range []string{"catalogue-crest-key", "tagging-quiet-key"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := pattern(t, name)
			p.Daemons = 145
			without := fulmarreplay.New(p, fulmarassign.DefaultPolicy, fulmarreplay.NewDaemonLimit(4), seed).Run()
			with := fulmarreplay.New(p, fulmarassign.DefaultPolicy, fulmarreplay.NewFleetPermits(4), seed).Run()
			g.Expect(with.Failed).To(BeNumerically("<", without.Failed/2))
			g.Expect(with.Good).To(BeNumerically(">", without.Good*98/100))
		})
	}
}

// Guards against requests for keys that are refused as soon as the owner of the key rejects them, though it has free slots. Of
// those that end refused, repeats within the budget must serve a third.
func TestRepeats(t *testing.T) {
	g := NewWithT(t)
	p := pattern(t, "rota-crest-shed")
	without := fulmarreplay.New(p, fulmarassign.DefaultPolicy, fulmarreplay.NewDaemonLimit(4), seed).Run()
	with := fulmarreplay.New(p, fulmarassign.DefaultPolicy, fulmarreplay.NewRepeats(4), seed).Run()
	g.Expect(with.Refused).To(BeNumerically("<", without.Refused*2/3))
	g.Expect(with.Good).To(BeNumerically(">", without.Good))
}

// Guards against daemons that choose targets without knowing of each other's requests, while the speed of the targets changes
// several times a second. With targets chosen for the whole fleet, less than half as many answers miss the goal, and the longest waits
// for a slot are less than half as long.
func TestPlacement(t *testing.T) {
	for _, name := range []string{"desks", "desks-busy"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := pattern(t, name)
			alone := fulmarreplay.New(p, fulmarassign.DefaultPolicy, fulmarreplay.NewChoice(p, 4, seed), seed).Run()
			fleet := fulmarreplay.New(p, fulmarassign.DefaultPolicy, fulmarreplay.NewPlacement(p, 4, seed), seed).Run()
			g.Expect(fleet.Late + fleet.Failed).To(BeNumerically("<", (alone.Late+alone.Failed)/2))
			g.Expect(fleet.WaitP99).To(BeNumerically("<", alone.WaitP99/2))
		})
	}
}

// Guards against a policy that beats Ideal, which would show that the model is wrong and comparisons are void.
func TestBound(t *testing.T) {
	for _, p := range fulmarreplay.Patterns()[:3] {
		t.Run(p.Name, func(t *testing.T) {
			g := NewWithT(t)
			choice := worth(p, fulmarassign.DefaultPolicy, fulmarreplay.NewDaemonLimit(4))
			g.Expect(worth(p, fulmarassign.DefaultPolicy, fulmarreplay.NewIdeal())).To(BeNumerically(">", choice))
		})
	}
}

// Guards against runs with the same seed that give different results.
func TestRepeatable(t *testing.T) {
	g := NewWithT(t)
	p := pattern(t, "rota-quiet")
	run := func() fulmarreplay.Result {
		return fulmarreplay.New(p, fulmarassign.DefaultPolicy, fulmarreplay.NewDaemonLimit(4), seed).Run()
	}
	g.Expect(run()).To(Equal(run()))
}
