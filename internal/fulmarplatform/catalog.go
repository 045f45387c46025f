package fulmarplatform

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Service is a registration in the catalog.
type Service struct {
	ID      string
	Name    string
	Address string
	Port    int
	Meta    map[string]string
}

// CatalogService is a registration as the catalog lists it.
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

// change is a registration, or a removal if service is nil.
type change struct {
	id      string
	service *Service
	due     time.Time
}

// catalog lists services some time after they were registered.
type catalog struct {
	mu      sync.Mutex
	lag     time.Duration
	stale   bool
	pending []change
	shown   map[string]Service
	now     func() time.Time
}

func newCatalog(lag time.Duration, now func() time.Time) *catalog {
	return &catalog{lag: lag, shown: map[string]Service{}, now: now}
}

func (c *catalog) add(id string, service *Service) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = append(c.pending, change{id: id, service: service, due: c.now().Add(c.lag)})
}

func (c *catalog) setStale(stale bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.apply()
	c.stale = stale
}

func (c *catalog) setLag(lag time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lag = lag
}

// apply shows the pending changes whose time has come, in order; mu is held.
func (c *catalog) apply() {
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
			delete(c.shown, p.id)
			continue
		}
		c.shown[p.id] = *p.service
	}
	c.pending = slices.Delete(c.pending, 0, n)
}

// list returns the services with the name in order of id.
func (c *catalog) list(name string) []CatalogService {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.apply()
	out := []CatalogService{}
	for _, s := range c.shown {
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
