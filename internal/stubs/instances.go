package stubs

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"example.org/mustardring/internal/listcl"
)

// ListFault holds the fault switches of the instance list. A POST replaces all of them.
type ListFault struct {
	// Down makes reads and changes fail with status 503.
	Down bool `json:"down,omitempty"`
	// LagMillis replaces the current lag if it is above zero.
	LagMillis int64 `json:"lag-ms,omitempty"`
}

// InstanceList is an http.Handler that stands in for the platform's lagging list of instances
// and servers. It has no timeout: an instance leaves the list only when its end is reported or a
// process with a later incarnation replaces it, so one that is no longer listed has certainly
// ended.
type InstanceList struct {
	mux *http.ServeMux

	mu       sync.Mutex
	fault    ListFault
	lag      time.Duration
	versions []listVersion
}

// listVersion is the list after one change.
type listVersion struct {
	// visibleFrom is when readers begin to see the version.
	visibleFrom time.Time
	list        listcl.List
}

// NewInstanceList returns a list that starts with the instances of s and with servers.
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
	l.mux.HandleFunc("POST "+listcl.RegisterPath, l.handleChange(addInstance))
	l.mux.HandleFunc("POST "+listcl.LeavePath, l.handleChange(markLeaving))
	l.mux.HandleFunc("POST "+listcl.GonePath, l.handleChange(removeInstance))
	l.mux.HandleFunc("POST "+serversPath, l.handleServer)
	l.mux.HandleFunc("POST "+FaultPath, l.handleFault)
	return l
}

// A POST of a listcl.Server to serversPath adds or replaces the server of that name. With the
// query parameter serverGoneQuery it removes the server.
const (
	serversPath     = "/.stand-in/servers"
	serverGoneQuery = "gone"
)

// ServeHTTP implements http.Handler.
func (l *InstanceList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mux.ServeHTTP(w, r)
}

func (l *InstanceList) handleList(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	down, list := l.fault.Down, l.visible(time.Now())
	l.mu.Unlock()
	if down {
		http.Error(w, "list down", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, list)
}

// visible returns the newest version that readers see and drops those before it. The caller holds
// l.mu.
func (l *InstanceList) visible(now time.Time) listcl.List {
	newest := 0
	for i, v := range l.versions {
		if !v.visibleFrom.After(now) {
			newest = i
		}
	}
	l.versions = slices.Delete(l.versions, 0, newest)
	return l.versions[0].list
}

// change applies a posted instance to the list.
type change func(list *listcl.List, i listcl.Instance)

func (l *InstanceList) handleChange(f change) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var i listcl.Instance
		if !readJSON(w, r, &i) {
			return
		}
		ok := l.change(func(list *listcl.List) { f(list, i) })
		writeChangeResult(w, ok)
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
	writeChangeResult(w, ok)
}

func writeChangeResult(w http.ResponseWriter, ok bool) {
	if !ok {
		http.Error(w, "list down", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// change adds a version of the list with f applied, which readers see after the lag. It returns
// false if the list is down.
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
	l.versions = append(l.versions, listVersion{visibleFrom: now.Add(l.lag), list: list})
	l.visible(now)
	return true
}

// addInstance adds i in place of processes of the same name with the same or an older incarnation.
func addInstance(list *listcl.List, i listcl.Instance) {
	i.Leaving = false
	list.Instances = slices.DeleteFunc(list.Instances, func(o listcl.Instance) bool {
		return o.Name == i.Name && o.Incarnation <= i.Incarnation
	})
	list.Instances = append(list.Instances, i)
}

func markLeaving(list *listcl.List, i listcl.Instance) {
	for n := range list.Instances {
		if matches(list.Instances[n], i) {
			list.Instances[n].Leaving = true
		}
	}
}

func removeInstance(list *listcl.List, i listcl.Instance) {
	list.Instances = slices.DeleteFunc(list.Instances, func(o listcl.Instance) bool { return matches(o, i) })
}

// matches compares names, and also incarnations if i states one, so that a late message of a
// replaced process does not change the entry of its successor.
func matches(o, i listcl.Instance) bool {
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
