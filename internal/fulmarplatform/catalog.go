package fulmarplatform

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Service is a registration of a service instance.
type Service struct {
	ID      string
	Name    string
	Address string
	Port    int
	Meta    map[string]string
}

// CatalogService is an entry of the catalog, in the JSON form of Consul.
type CatalogService struct {
	ID             string
	Node           string
	Address        string
	Datacenter     string
	ServiceID      string
	ServiceName    string
	ServiceAddress string
	ServicePort    int
	ServiceMeta    map[string]string
}

// change is a registration, or a deregistration if service is nil, that becomes visible at due.
type change struct {
	id      string
	service *Service
	due     time.Time
}

// catalog lists services. Changes become visible after lag; while stale is set, none do.
// It is safe for concurrent use.
type catalog struct {
	mu      sync.Mutex
	lag     time.Duration
	stale   bool
	pending []change           // not yet visible, oldest first
	visible map[string]Service // by service ID
	now     func() time.Time
}

func newCatalog(lag time.Duration, now func() time.Time) *catalog {
	return &catalog{lag: lag, visible: map[string]Service{}, now: now}
}

// add queues a registration, or a deregistration if service is nil.
func (c *catalog) add(id string, service *Service) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = append(c.pending, change{id: id, service: service, due: c.now().Add(c.lag)})
}

// setStale stops or resumes updates of the list; changes that are due before it stops are applied.
func (c *catalog) setStale(stale bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyDue()
	c.stale = stale
}

// setLag sets the lag of changes that are added from now on.
func (c *catalog) setLag(lag time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lag = lag
}

// applyDue makes the pending changes that are due visible, in order, unless the list is
// stale. The caller holds mu.
func (c *catalog) applyDue() {
	if c.stale {
		return
	}
	now := c.now()
	n := 0
	for _, p := range c.pending {
		if p.due.After(now) {
			break
		}
		n++
		if p.service == nil {
			delete(c.visible, p.id)
			continue
		}
		c.visible[p.id] = *p.service
	}
	c.pending = slices.Delete(c.pending, 0, n)
}

// list returns the visible services with the name, sorted by ID.
func (c *catalog) list(name string) []CatalogService {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyDue()
	out := []CatalogService{}
	for _, s := range c.visible {
		if s.Name != name {
			continue
		}
		out = append(out, CatalogService{
			ID: s.ID, Node: s.ID, Address: s.Address, Datacenter: s.Meta["dc"],
			ServiceID: s.ID, ServiceName: s.Name, ServiceAddress: s.Address,
			ServicePort: s.Port, ServiceMeta: s.Meta,
		})
	}
	slices.SortFunc(out, func(a, b CatalogService) int { return cmp.Compare(a.ServiceID, b.ServiceID) })
	return out
}
