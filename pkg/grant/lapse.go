package grant

// Valid reports whether the holder has ranges and its deadline has not passed.
func (h *Holder) Valid() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.ranges) > 0 && h.config.Clock() < h.deadline
}
