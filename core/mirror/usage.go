package mirror

// Usage is what a copy holds in memory. Bytes are those of values; each value counts once.
type Usage struct {
	Items, ItemBytes            int // that are listed
	Deleted, DeletedBytes       int // that are gone
	Superseded, SupersededBytes int // usable states of items whose listed state is not
}

// Usage returns what the copy holds.
func (m *Mirror) Usage() Usage {
	var u Usage
	for _, e := range m.items {
		if e.Deleted {
			u.Deleted++
			u.DeletedBytes += len(e.Value)
			continue
		}
		u.Items++
		u.ItemBytes += len(e.Value)
	}
	for _, e := range m.usable {
		u.Superseded++
		u.SupersededBytes += len(e.Value)
	}
	return u
}
