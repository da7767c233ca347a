package stand

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"example.org/mustardring/internal/listcl"
)

// ListFault are the fault switches of the instance list. A POST replaces them all.
type ListFault struct {
	// Down refuses each call.
	Down bool `json:"down,omitempty"`
	// LagMillis replaces the lag of the settings when it is above zero.
	LagMillis int64 `json:"lag-ms,omitempty"`
}

// InstanceList is an http.Handler that stands in for the platform's lagging list. It never
// drops an instance because of silence: what is listed no more is gone for certain.
type InstanceList struct {
	mux *http.ServeMux

	mu       sync.Mutex
	fault    ListFault
	lag      time.Duration
	versions []listVersion
}

type listVersion struct {
	// shownAt is when readers begin to see the list.
	shownAt time.Time
	list    listcl.List
}

// NewInstanceList returns a list that shows the instances of the settings and the servers.
func NewInstanceList(s ListSettings, servers []listcl.Server) *InstanceList {
	l := &InstanceList{
		mux: http.NewServeMux(),
		lag: time.Duration(s.LagMillis) * time.Millisecond,
		versions: []listVersion{{list: listcl.List{
			Instances: append([]listcl.Instance{}, s.Instances...),
			Servers:   append([]listcl.Server{}, servers...),
		}}},
	}
	l.mux.HandleFunc("GET "+listcl.ListPath, l.handleList)
	l.mux.HandleFunc("POST "+listcl.RegisterPath, l.handleChange(register))
	l.mux.HandleFunc("POST "+listcl.LeavePath, l.handleChange(leave))
	l.mux.HandleFunc("POST "+listcl.GonePath, l.handleChange(gone))
	l.mux.HandleFunc("POST "+serverPath, l.handleServer)
	l.mux.HandleFunc("POST "+FaultPath, l.handleFault)
	return l
}

// serverPath takes a listcl.Server that joins or changes, and serverGoneQuery one that went.
const (
	serverPath      = "/.stand-in/servers"
	serverGoneQuery = "gone"
)

// ServeHTTP implements http.Handler.
func (l *InstanceList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mux.ServeHTTP(w, r)
}

func (l *InstanceList) handleList(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	down, list := l.fault.Down, l.shown(time.Now())
	l.mu.Unlock()
	if down {
		http.Error(w, "list down", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, list)
}

// shown returns the newest list that readers see and forgets those before it.
func (l *InstanceList) shown(now time.Time) listcl.List {
	newest := 0
	for i, v := range l.versions {
		if !v.shownAt.After(now) {
			newest = i
		}
	}
	l.versions = slices.Delete(l.versions, 0, newest)
	return l.versions[0].list
}

type change func(list *listcl.List, i listcl.Instance)

func (l *InstanceList) handleChange(f change) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var i listcl.Instance
		if !readJSON(w, r, &i) {
			return
		}
		ok := l.change(func(list *listcl.List) { f(list, i) })
		writeChange(w, ok)
	}
}

func (l *InstanceList) handleServer(w http.ResponseWriter, r *http.Request) {
	var s listcl.Server
	if !readJSON(w, r, &s) {
		return
	}
	isGone := r.URL.Query().Has(serverGoneQuery)
	ok := l.change(func(list *listcl.List) {
		list.Servers = slices.DeleteFunc(list.Servers, func(o listcl.Server) bool { return o.Name == s.Name })
		if !isGone {
			list.Servers = append(list.Servers, s)
		}
	})
	writeChange(w, ok)
}

func writeChange(w http.ResponseWriter, ok bool) {
	if !ok {
		http.Error(w, "list down", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// change makes a new version of the list, shown after the lag.
func (l *InstanceList) change(f func(*listcl.List)) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fault.Down {
		return false
	}
	now := time.Now()
	newest := l.versions[len(l.versions)-1].list
	list := listcl.List{Instances: slices.Clone(newest.Instances), Servers: slices.Clone(newest.Servers)}
	f(&list)
	l.versions = append(l.versions, listVersion{shownAt: now.Add(l.lag), list: list})
	l.shown(now)
	return true
}

func register(list *listcl.List, i listcl.Instance) {
	i.Leaving = false
	list.Instances = slices.DeleteFunc(list.Instances, func(o listcl.Instance) bool {
		return o.Name == i.Name && o.Incarnation <= i.Incarnation
	})
	list.Instances = append(list.Instances, i)
}

func leave(list *listcl.List, i listcl.Instance) {
	for n := range list.Instances {
		if same(list.Instances[n], i) {
			list.Instances[n].Leaving = true
		}
	}
}

func gone(list *listcl.List, i listcl.Instance) {
	list.Instances = slices.DeleteFunc(list.Instances, func(o listcl.Instance) bool { return same(o, i) })
}

// same matches by name, and by incarnation where i states one, so that the late leaving of
// a replaced process does not remove the one that replaced it.
func same(o, i listcl.Instance) bool {
	return o.Name == i.Name && (i.Incarnation == 0 || o.Incarnation == i.Incarnation)
}

func (l *InstanceList) handleFault(w http.ResponseWriter, r *http.Request) {
	var f ListFault
	if !readJSON(w, r, &f) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
	if f.LagMillis > 0 {
		l.lag = time.Duration(f.LagMillis) * time.Millisecond
	}
	w.WriteHeader(http.StatusNoContent)
}
