package entry

import (
	"context"
	"slices"
	"time"

	"example.org/mustardring/internal/duty"

	"example.org/mustardring/internal/config"
	"example.org/mustardring/internal/leader"
	"example.org/mustardring/internal/listcl"
	"example.org/mustardring/internal/member"
)

// Intervals and timeouts of the platform's list, which shows the running instances and servers.
const (
	listInterval = 500 * time.Millisecond
	listTimeout  = 2 * time.Second
	// reregisterTime is how long instances have to register again after the list has lost them.
	reregisterTime = 10 * time.Second
)

// runList registers this instance in the platform's list and reads the list periodically.
func (e *Entry) runList(ctx context.Context) error {
	for ctx.Err() == nil {
		if !e.list.registered {
			e.list.registered = e.register(ctx)
		}
		e.readList(ctx)
		duty.Sleep(ctx, listInterval)
	}
	return ctx.Err()
}

func (e *Entry) register(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	if err := e.deps.List.Register(bounded, e.listEntry()); err != nil {
		e.deps.Logger.Warn("list-unavailable", "error", err)
		return false
	}
	return true
}

// listEntry returns the entry of this instance in the platform's list.
func (e *Entry) listEntry() listcl.Instance {
	s := e.deps.Settings
	return listcl.Instance{
		Name:           s.Name,
		Domain:         s.Domain,
		PeerAddress:    s.PeerAddress,
		ForwardAddress: s.ForwardAddress,
		Incarnation:    e.deps.Incarnation,
	}
}

func (e *Entry) readList(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := e.deps.List.List(bounded)
	if err != nil {
		e.deps.Logger.Debug("list-unavailable", "error", err)
		return
	}
	e.applyList(ctx, list)
}

// applyList adds the listed instances to the peers. Unless the list has lost entries, it also takes
// instances and servers that are not listed for gone. If this process was removed from the list, it
// stops taking part in its domain.
func (e *Entry) applyList(ctx context.Context, list listcl.List) {
	ev := leader.Listed{}
	var listed []member.ListedInstance
	for _, i := range list.Instances {
		ev.Instances = append(ev.Instances, i.Name)
		listed = append(listed, listedMember(i))
		if i.Leaving || i.Name == e.deps.Settings.Name {
			continue
		}
		e.peers.add(config.Peer{
			Name:           i.Name,
			Domain:         i.Domain,
			PeerAddress:    i.PeerAddress,
			ForwardAddress: i.ForwardAddress,
		})
	}
	for _, s := range list.Servers {
		ev.Servers = append(ev.Servers, s.Name)
	}
	if !e.list.isTrusted(time.Now(), e.deps.Settings.Name, ev.Instances) {
		return
	}
	if e.peers.applyList(e.now(), listed) {
		e.deps.Logger.Warn("removed", "instance", e.deps.Settings.Name)
		e.state.stop()
		e.notifyLeaderCore(ctx, leader.Stopping{})
	}
	e.notifyLeaderCore(ctx, ev)
}

// listTracker decides whether the list can be trusted. Only the list worker uses it.
type listTracker struct {
	// names are the instances in the last trusted list.
	names []string
	// registered says that this instance need not register.
	registered bool
	// trustedFrom is when the list can be trusted again after it has lost entries.
	trustedFrom time.Time
}

// isTrusted reports whether instances that are missing from the list are gone.
//
// This guards against a list service that has lost its entries. It shows few instances although all
// are running, and each instance would take the others for gone permanently. The sign of such a loss
// is that this instance and more than half of all instances disappear at once. The instances then
// register again, and the list is trusted again after reregisterTime.
func (l *listTracker) isTrusted(now time.Time, self string, names []string) bool {
	missing := 0
	for _, name := range l.names {
		if !slices.Contains(names, name) {
			missing++
		}
	}
	lost := slices.Contains(l.names, self) && !slices.Contains(names, self) && 2*missing > len(l.names)
	if lost {
		l.registered, l.trustedFrom = false, now.Add(reregisterTime)
	}
	if now.Before(l.trustedFrom) {
		return false
	}
	l.names = names
	return true
}

func listedMember(i listcl.Instance) member.ListedInstance {
	return member.ListedInstance{
		Instance: member.Instance{
			Process: member.Process{Name: i.Name, Incarnation: i.Incarnation},
			Domain:  i.Domain,
			Address: i.PeerAddress,
		},
		Leaving: i.Leaving,
	}
}
