package fulmarforwarder

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarnotice"
)

// preferences orders the targets of a service by this daemon's preference: targets of its own data centre first, then
// by rendezvous hashing of the daemon and the target, so that daemons prefer different targets. It caches the order until
// the catalog changes, and the notices of the targets until one of these does.
type preferences struct {
	id, dc string
	board  *fulmarnotice.Board

	mu       sync.Mutex
	catalog  *fulmarcatalog.Catalog
	services map[string]preferred
}

// preferred are the targets of a service in order of preference.
type preferred struct {
	targets []fulmarcatalog.Target
	// notices are those of the targets, in the same order; empty if none has one. They are of the given version.
	notices []fulmarnotice.Notice
	version int64
}

// notice returns the notice of the target with index i.
func (p preferred) notice(i int) fulmarnotice.Notice {
	if len(p.notices) == 0 {
		return fulmarnotice.Notice{}
	}
	return p.notices[i]
}

// of returns the targets of a service; the caller must not modify them.
func (n *preferences) of(c *fulmarcatalog.Catalog, service string) preferred {
	version := n.board.Version()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.catalog != c {
		n.catalog, n.services = c, make(map[string]preferred)
	}
	p, ok := n.services[service]
	if !ok {
		p.targets = n.order(c, service)
	}
	if !ok || p.version != version {
		p.version, p.notices = version, n.noticesOf(p.targets)
		n.services[service] = p
	}
	return p
}

// noticesOf returns the notices of the targets, none if no target has one.
func (n *preferences) noticesOf(targets []fulmarcatalog.Target) []fulmarnotice.Notice {
	notices := n.board.Notices()
	if len(notices) == 0 {
		return nil
	}
	out := make([]fulmarnotice.Notice, len(targets))
	for i, t := range targets {
		out[i] = notices[t.Incarnation()]
	}
	return out
}

// order returns the targets of a service in order of preference.
func (n *preferences) order(c *fulmarcatalog.Catalog, service string) []fulmarcatalog.Target {
	list := slices.Clone(c.Service(service))
	slices.SortFunc(list, func(a, b fulmarcatalog.Target) int {
		if (a.DC == n.dc) != (b.DC == n.dc) {
			if a.DC == n.dc {
				return -1
			}
			return 1
		}
		return cmp.Compare(n.hash(b.ID), n.hash(a.ID))
	})
	return list
}

func (n *preferences) hash(target string) uint64 { return xxhash.Sum64String(n.id + "\x00" + target) }
