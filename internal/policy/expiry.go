package policy

// expiry says when to check again whether the record of a request has expired.
type expiry struct {
	id ID
	at Time
}

// expiryHeap is a binary min-heap by time.
type expiryHeap []expiry

func (x expiryHeap) first() (expiry, bool) {
	if len(x) == 0 {
		return expiry{}, false
	}
	return x[0], true
}

func (x *expiryHeap) push(e expiry) {
	h := append(*x, e)
	i := len(h) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if h[parent].at <= h[i].at {
			break
		}
		h[parent], h[i] = h[i], h[parent]
		i = parent
	}
	*x = h
}

func (x *expiryHeap) pop() {
	h := *x
	last := len(h) - 1
	h[0] = h[last]
	h = h[:last]
	i := 0
	for {
		child := 2*i + 1
		if child >= last {
			break
		}
		if child+1 < last && h[child+1].at < h[child].at {
			child++
		}
		if h[i].at <= h[child].at {
			break
		}
		h[i], h[child] = h[child], h[i]
		i = child
	}
	*x = h
}
