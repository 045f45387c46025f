package fulmarlink

import (
	"slices"
	"time"
)

// Idle returns the number of idle connections to address.
func (p *Pool) Idle(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[address])
}

// CloseIdle closes the idle connections to address.
func (p *Pool) CloseIdle(address string) {
	for _, c := range p.takeAllIdle(address) {
		p.closeConn(address, c)
	}
}

func (p *Pool) takeAllIdle(address string) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	delete(p.idle, address)
	return list
}

// CloseExpired closes the connections whose idle timeout has passed at now.
func (p *Pool) CloseExpired(now time.Time) {
	type pooled struct {
		address string
		conn    *conn
	}
	var expired []pooled
	p.mu.Lock()
	p.forgetResets(now)
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.usedAt) >= c.idleTimeout {
				expired = append(expired, pooled{address, c})
				continue
			}
			kept = append(kept, c)
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, e := range expired {
		p.closeConn(e.address, e.conn)
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	addresses := make([]string, 0, len(p.idle))
	for a := range p.idle {
		addresses = append(addresses, a)
	}
	p.mu.Unlock()
	for _, a := range addresses {
		p.CloseIdle(a)
	}
}

// takeIdle removes and returns an idle connection of the request's lane that is still open and has not carried a request with
// its id, or returns nil. avoided is the number of connections that have carried one.
func (p *Pool) takeIdle(address string, r *Request, now time.Time) (c *conn, avoided int) {
	for {
		if c, avoided = p.removeIdle(address, r); c == nil {
			return nil, avoided
		}
		if now.Sub(c.usedAt) < c.idleTimeout && c.usable() {
			return c, avoided
		}
		p.closeConn(address, c)
	}
}

// removeIdle removes and returns the most recently used idle connection of the request's lane that has not carried a request
// with its id, or returns nil.
func (p *Pool) removeIdle(address string, r *Request) (c *conn, avoided int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i, c := range slices.Backward(list) {
		if c.lane != r.Lane {
			continue
		}
		if c.carried.Contains(r.ID) {
			avoided++
			continue
		}
		p.idle[address] = slices.Delete(list, i, i+1)
		return c, avoided
	}
	return nil, avoided
}

// closeOldestIdle closes the least recently used idle connection to the address, if there is one.
func (p *Pool) closeOldestIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	if len(list) == 0 {
		p.mu.Unlock()
		return
	}
	oldest := list[0]
	p.idle[address] = slices.Delete(list, 0, 1)
	p.mu.Unlock()
	p.closeConn(address, oldest)
}

// putIdle keeps a connection for later requests, or closes it if maxIdle connections are idle already or it has carried its
// last request.
func (p *Pool) putIdle(address string, c *conn, now time.Time, maxIdle int) {
	c.usedAt = now
	p.mu.Lock()
	keep := !c.carried.Full() && !c.tokens.Full() && (maxIdle <= 0 || len(p.idle[address]) < maxIdle)
	if keep {
		p.idle[address] = append(p.idle[address], c)
	}
	p.mu.Unlock()
	if !keep {
		p.closeConn(address, c)
	}
}
