package fulmarrelay

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
)

// near orders the targets of a service as this daemon prefers them: those of its own data centre first, and among
// them by a hash of both, so that daemons prefer different ones.
type near struct {
	id, dc string

	mu       sync.Mutex
	catalog  *fulmarcatalog.Catalog
	services map[string][]fulmarcatalog.Target
}

// targets returns the targets of a service in the order of preference; the caller must not modify them.
func (n *near) targets(c *fulmarcatalog.Catalog, service string) []fulmarcatalog.Target {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.catalog != c {
		n.catalog, n.services = c, make(map[string][]fulmarcatalog.Target)
	}
	list, ok := n.services[service]
	if !ok {
		list = slices.Clone(c.Service(service))
		slices.SortFunc(list, func(a, b fulmarcatalog.Target) int {
			if (a.DC == n.dc) != (b.DC == n.dc) {
				if a.DC == n.dc {
					return -1
				}
				return 1
			}
			return cmp.Compare(n.weight(b.ID), n.weight(a.ID))
		})
		n.services[service] = list
	}
	return list
}

func (n *near) weight(target string) uint64 { return xxhash.Sum64String(n.id + "\x00" + target) }
