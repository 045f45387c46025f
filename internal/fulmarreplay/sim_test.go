package fulmarreplay_test

import (
	"fmt"
	"os"
	"testing"

	"github.com/fulmarbend/fulmarbend/internal/fulmarreplay"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarassign"
)

func TestTable(t *testing.T) {
	if os.Getenv("REPLAY") == "" {
		t.Skip()
	}
	for _, p := range fulmarreplay.Patterns() {
		var w, m, again float64
		const n = 8
		var last fulmarreplay.Result
		for seed := range uint64(n) {
			last = fulmarreplay.New(p, fulmarassign.Standard, fulmarreplay.NewBlind(4), seed+1).Run()
			w += last.Worth / n
			m += last.Moved / n
			again += float64(last.Again) / float64(last.Asked) / n
		}
		fmt.Printf("%-24s %.4f moved %.2f again %.3f   %s\n", p.Name, w, m, again, last)
	}
}
