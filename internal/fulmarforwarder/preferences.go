package fulmarforwarder

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
)

// preferences orders the targets of a service by this daemon's preference: targets of its own data centre first, then
// by rendezvous hashing of the daemon and the target, so that daemons prefer different targets. It caches the order until
// the catalog changes.
type preferences struct {
	id, dc string

	mu       sync.Mutex
	catalog  *fulmarcatalog.Catalog
	services map[string][]fulmarcatalog.Target
}

// targets returns the targets of a service in order of preference; the caller must not modify the slice.
func (n *preferences) targets(c *fulmarcatalog.Catalog, service string) []fulmarcatalog.Target {
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
			return cmp.Compare(n.hash(b.ID), n.hash(a.ID))
		})
		n.services[service] = list
	}
	return list
}

func (n *preferences) hash(target string) uint64 { return xxhash.Sum64String(n.id + "\x00" + target) }
