package fulmarcatalog

// ChangedIDs returns the ids of the targets that differ from those of old, or that only one of the two catalogues has.
func (c *Catalog) ChangedIDs(old *Catalog) (ids []string) {
	if c == old {
		return nil
	}
	for id, t := range c.targets {
		if u, ok := old.targets[id]; !ok || !equivalent(t, u) {
			ids = append(ids, id)
		}
	}
	for id := range old.targets {
		if _, ok := c.targets[id]; !ok {
			ids = append(ids, id)
		}
	}
	return ids
}
