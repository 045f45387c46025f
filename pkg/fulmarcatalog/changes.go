package fulmarcatalog

// ChangedIDs returns the ids of the targets that differ from those of old, or that only one of the two catalogues has.
func (c *Catalog) ChangedIDs(old *Catalog) (ids []string) {
	if c == old {
		return nil
	}
	for id, t := range c.byID() {
		if u, ok := old.byID()[id]; !ok || !equivalent(t, u) {
			ids = append(ids, id)
		}
	}
	for id := range old.byID() {
		if _, ok := c.byID()[id]; !ok {
			ids = append(ids, id)
		}
	}
	return ids
}
