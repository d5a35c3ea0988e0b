package admission

// noIndex stands for the absence of a slab entry.
const noIndex int32 = -1

// idleList is a doubly linked list of slab entries in insertion order. An entry is in at most one list and holds its
// own links, so that the list needs no allocation.
type idleList struct {
	oldest, youngest int32
	length           int
}

// links are the neighbours of an entry in its list.
type links struct{ older, younger int32 }

func newIdleList() idleList { return idleList{oldest: noIndex, youngest: noIndex} }

// add appends an entry as the youngest. linksOf returns the links of an entry.
func (l *idleList) add(index int32, linksOf func(int32) *links) {
	*linksOf(index) = links{l.youngest, noIndex}
	if l.youngest != noIndex {
		linksOf(l.youngest).younger = index
	} else {
		l.oldest = index
	}
	l.youngest = index
	l.length++
}

// remove unlinks an entry.
func (l *idleList) remove(index int32, linksOf func(int32) *links) {
	entry := *linksOf(index)
	if entry.older != noIndex {
		linksOf(entry.older).younger = entry.younger
	} else {
		l.oldest = entry.younger
	}
	if entry.younger != noIndex {
		linksOf(entry.younger).older = entry.older
	} else {
		l.youngest = entry.older
	}
	*linksOf(index) = links{noIndex, noIndex}
	l.length--
}
