package fulmarevacuationmonitor_test

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarevacuationmonitor"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// show makes the view show a target in each of two data centres, one of which may be evacuated, and the owner of all keys.
func show(views *fulmarview.Holder, evacuated bool, owner string) {
	a := fulmarcatalog.Target{ID: "a", Service: "board", DC: "one", SeenAt: start}
	b := fulmarcatalog.Target{ID: "b", Service: "board", DC: "two", SeenAt: start, Evacuated: evacuated, EvacuatedFor: time.Second}
	views.Update(func(v *fulmarview.View) {
		v.Catalog = fulmarcatalog.New([]fulmarcatalog.Target{a, b})
		v.Owners = map[string]fulmarview.Spans{"board": {{From: 0, To: fulmarrange.MaxKey, Target: owner, Ready: true}}}
	})
}

// Guards against an operator who cannot tell whether a data centre is empty, and against a line in the log with every check.
func TestMonitor(t *testing.T) {
	g := NewWithT(t)
	var log bytes.Buffer
	views, requests := fulmarview.New(), 2
	m := fulmarevacuationmonitor.New(views, func(target string) int {
		if target == "b" {
			return requests
		}
		return 7
	}, slog.New(slog.NewTextHandler(&log, nil)), func() time.Time { return start.Add(2 * time.Second) })
	expectLines := func(texts ...string) {
		t.Helper()
		for range 2 {
			m.Update()
		}
		lines := strings.Split(strings.TrimSpace(log.String()), "\n")
		log.Reset()
		g.Expect(lines).To(HaveLen(len(texts)))
		for i, text := range texts {
			g.Expect(lines[i]).To(ContainSubstring(text))
		}
	}
	expectLines("")
	show(views, false, "b")
	expectLines("")
	show(views, true, "b")
	expectLines("data centre is evacuated")
	g.Expect(m.Status()).To(Equal(map[string]fulmarevacuationmonitor.Status{
		"two": {For: 3 * time.Second, Targets: 1, Keys: fulmarrange.MaxKey + 1, Requests: 2},
	}))
	requests = 0
	show(views, true, "a")
	expectLines("evacuated data centre is empty")
	show(views, false, "a")
	expectLines("evacuation of data centre has ended")
	g.Expect(m.Status()).To(BeEmpty())
}
