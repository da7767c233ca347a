package entry

import "example.org/mustardring/internal/route"

// right is this instance's right to send work to servers that do not check grants.
type right struct {
	state   *state
	holders *holders
}

// Check implements front.Right. A service that is not divided has no owners: any instance
// may send to its servers, and a gate only counts their slots.
func (r right) Check(service, server string, hash uint64) error {
	view, _, _ := r.state.snapshot()
	if !divided(view, service) {
		return nil
	}
	return r.holders.check(service, server, hash)
}

func divided(view route.View, service string) bool {
	if view.Bundle == nil {
		return true
	}
	s := view.Bundle.Service(service)
	return s == nil || s.Divided
}
