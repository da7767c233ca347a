package policy

// expiry is when to look at a remembered request again.
type expiry struct {
	name ID
	at   Time
}

// expiries is a binary heap of expiries, the earliest first.
type expiries []expiry

func (x expiries) first() (expiry, bool) {
	if len(x) == 0 {
		return expiry{}, false
	}
	return x[0], true
}

func (x *expiries) push(e expiry) {
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

func (x *expiries) pop() {
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
