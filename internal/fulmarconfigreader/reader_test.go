package fulmarconfigreader_test

import (
	"context"
	"log/slog"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarconfigreader"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarera"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarroute"
)

// items is a store with constant items.
type items []fulmarkv.Item

func (s items) Scan(context.Context, string) ([]fulmarkv.Item, error) { return s, nil }

// decode decodes a configuration that is stored as its version.
func decode(value []byte) (c fulmarroute.Config, err error) {
	c.Version, err = strconv.ParseUint(string(value), 10, 64)
	return c, err
}

func item(revision fulmarera.Revision, value string) fulmarkv.Item {
	return fulmarkv.Item{Key: "config", Value: []byte(value), Revision: revision}
}

// Guards against a damaged, an older or a late value that replaces the configuration in force.
func TestDecode(t *testing.T) {
	for _, c := range []struct {
		name  string
		items []fulmarkv.Item
		want  uint64
	}{
		{"newer", []fulmarkv.Item{item(1, "3"), item(2, "4")}, 4},
		{"older", []fulmarkv.Item{item(1, "3"), item(2, "2")}, 3},
		{"damaged", []fulmarkv.Item{item(1, "3"), item(2, "x")}, 3},
		{"newer after a damaged one", []fulmarkv.Item{item(1, "3"), item(2, "x"), item(3, "5")}, 5},
		{"late answer of an earlier read", []fulmarkv.Item{item(2, "4"), item(1, "3"), item(2, "4")}, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			r := fulmarconfigreader.New(items(nil), "config", decode, slog.New(slog.DiscardHandler))
			for _, i := range c.items {
				r.Decode(i)
			}
			g.Expect(r.Newest().Version()).To(Equal(c.want))
		})
	}
}

// Guards against the value of another key that begins with the same letters.
func TestRead(t *testing.T) {
	g := NewWithT(t)
	other := fulmarkv.Item{Key: "config-old", Value: []byte("9"), Revision: 9}
	log := slog.New(slog.DiscardHandler)
	routes, err := fulmarconfigreader.New(items{other, item(1, "3")}, "config", decode, log).Read(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(routes.Version()).To(BeEquivalentTo(3))
	routes, err = fulmarconfigreader.New(items{other}, "config", decode, log).Read(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(routes).To(BeNil())
}
