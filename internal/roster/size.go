package roster

// Size is the number of registered instances, which share the limits that hold for all of them together. It is Known or
// Unknown.
//
// An instance does not know the others when it starts. If that were a size of one or zero, each instance of a system
// that starts would use the whole of each limit.
type Size interface{ isSize() }

// Known is the size of a system whose register is known. Instances is at least one.
type Known struct{ Instances int }

// Unknown is the size of a system whose register is not known yet.
type Unknown struct{}

func (Known) isSize()   {}
func (Unknown) isSize() {}

// Size returns the number of registered instances, including this one. It is unknown until the register has named this
// instance, in any incarnation: while a system starts for the first time, the register may hold just a few of its instances.
func (r *Roster) Size() Size {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.registeredOnce {
		return Unknown{}
	}
	count := len(r.peers)
	if r.peers[r.self] == nil {
		count++
	}
	return Known{Instances: count}
}
