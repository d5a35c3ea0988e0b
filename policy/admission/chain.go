package admission

const none int32 = -1

// chain is an order of places in a slab, by when they were put in: the oldest first. Each place is in one chain at most and
// holds its neighbours.
type chain struct {
	oldest, youngest int32
	n                int
}

type links struct{ older, younger int32 }

func newChain() chain { return chain{oldest: none, youngest: none} }

// put adds a place at the young end; at finds a place's neighbours.
func (c *chain) put(i int32, at func(int32) *links) {
	*at(i) = links{c.youngest, none}
	if c.youngest != none {
		at(c.youngest).younger = i
	} else {
		c.oldest = i
	}
	c.youngest = i
	c.n++
}

// drop takes a place out.
func (c *chain) drop(i int32, at func(int32) *links) {
	l := *at(i)
	if l.older != none {
		at(l.older).younger = l.younger
	} else {
		c.oldest = l.younger
	}
	if l.younger != none {
		at(l.younger).older = l.older
	} else {
		c.youngest = l.older
	}
	*at(i) = links{none, none}
	c.n--
}
