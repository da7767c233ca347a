package grant

// Valid reports whether the held grant has any ranges and has not expired.
func (h *Holder) Valid() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.ranges) > 0 && h.config.Clock() < h.deadline
}
