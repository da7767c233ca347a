package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// play is a case of the review.
type play struct {
	classes []*class
	prepare func(w *world, net16 string) error
	script  func(w *world)
}

var cases = map[string]*play{
	"shed-extra":  {classes: uvaClasses, prepare: prepareUva, script: shedExtra},
	"surplus":     {classes: uvaClasses, prepare: prepareUva, script: surplusBytes},
	"poison-roll": {classes: uvaClasses, prepare: prepareUva, script: poisonRoll},
}

// uvaClasses are three kinds of requests of uvagoat-gw; dispatch-note goes to stockbook, as the sheet says it may.
var uvaClasses = []*class{
	{name: "stock-check", method: "GET", path: "/stock/", keyed: true, perS: 150, deadline: 1200 * time.Millisecond},
	{name: "dispatch-note", method: "DELETE", path: "/dispatch/", unsafe: true, keyed: true, perS: 71, deadline: time.Second},
	{name: "member-payout", method: "POST", path: "/payout/", unsafe: true, perS: 50, deadline: 1500 * time.Millisecond, body: 1200},
}

const uvaRules = `{"name":"stock","kind":"safe","targetLatencyS":0.3,"priority":2,"match":{"pathPrefix":"/stock/"},"action":{"service":"stockbook","timeoutS":1.2,"maxAttempts":3}},
{"name":"dispatch","kind":"unsafe","targetLatencyS":0.25,"priority":2,"match":{"pathPrefix":"/dispatch/"},"action":{"service":"stockbook","timeoutS":1,"maxAttempts":2}},
{"name":"payout","kind":"unsafe","targetLatencyS":0.4,"priority":1,"match":{"pathPrefix":"/payout/"},"action":{"service":"payroll-milk","timeoutS":0.8,"maxAttempts":2}}`

const uvaClusters = `{"name":"stockbook","healthPath":"/health","maxConns":130,"sharded":true,"warmS":3},
{"name":"payroll-milk","healthPath":"/health","maxConns":130,"sharded":false}`

// prepareUva starts the upstreams of uvagoat-gw.
func prepareUva(w *world, net16 string) error {
	stock := &service{name: "stockbook", sharded: true, slots: 4, queue: 16, workMean: 90 * time.Millisecond}
	payroll := &service{name: "payroll-milk", slots: 4, queue: 16, workMean: 120 * time.Millisecond}
	w.services["stockbook"], w.services["payroll-milk"] = stock, payroll
	for z, zone := range zones {
		for n := range 6 + []int{4, 2, 3}[z] {
			s := stock
			if n >= 6 {
				s = payroll
			}
			u, err := w.startUpstream(fmt.Sprintf("i-%s%08x", zone.name[:2], rand.Uint32()), zone.name, fmt.Sprintf("%s.%d.%d", net16, z+1, 101+n), s)
			if err != nil {
				return err
			}
			w.upstreams = append(w.upstreams, u)
		}
	}
	w.config(7, uvaRules, uvaClusters)
	return nil
}

// of returns the upstreams of a service.
func (w *world) of(service string) (out []*upstream) {
	for _, u := range w.upstreams {
		if u.service.name == service {
			out = append(out, u)
		}
	}
	return out
}

// set changes an upstream, if there is to be trouble.
func (w *world) set(u *upstream, change func(u *upstream)) {
	if !w.trouble {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	change(u)
}

// shedExtra: upstreams shed a part of the requests (srv_grey, shed all), and send some responses once more, late (garble,
// extra late). Both begin together, ten times.
func shedExtra(w *world) {
	all := w.of("stockbook")
	time.Sleep(time.Second)
	for round := range 10 {
		for _, u := range all {
			w.set(u, func(u *upstream) { u.shed = 0.55 })
		}
		w.log("trouble", "round %d: %v", round, w.trouble)
		w.garble(all, func(u *upstream) { u.extra = 0.03 })
		time.Sleep(3500 * time.Millisecond)
		for _, u := range all {
			w.set(u, func(u *upstream) { u.shed = 0 })
		}
		time.Sleep(time.Second)
	}
}

// garble makes three fifths of some upstreams faulty for five seconds.
func (w *world) garble(all []*upstream, change func(u *upstream)) {
	garbled := rand.Perm(len(all))[:len(all)*6/10]
	for _, k := range garbled {
		w.set(all[k], change)
	}
	time.Sleep(5 * time.Second)
	for _, k := range garbled {
		w.set(all[k], func(u *upstream) { u.extra, u.surplus = 0, 0 })
	}
}

// surplusBytes: upstreams send an answer to a health check that nobody has sent, late, after some of their responses (garble,
// extra late).
func surplusBytes(w *world) {
	all := w.of("stockbook")
	time.Sleep(time.Second)
	for round := range 4 {
		w.log("trouble", "round %d: %v", round, w.trouble)
		w.garble(all, func(u *upstream) { u.surplus = 0.03 })
		time.Sleep(5 * time.Second)
	}
}

// poisonRoll: one request crashes each upstream that begins to run it, and comes again each second, at any machine. Meanwhile
// all instances are stopped and started in turn (roll_term), one at a time, a second apart, twice.
func poisonRoll(w *world) {
	stop := make(chan struct{})
	defer close(stop)
	go w.poison(uvaClasses[2], stop)
	time.Sleep(6 * time.Second)
	until := w.began.Add(104 * time.Second)
	for range 2 {
		for _, k := range rand.Perm(len(w.instances)) {
			if !w.trouble || time.Until(until) < 8*time.Second {
				break
			}
			if err := w.restart(w.instances[k]); err != nil {
				w.log("start", "instance %s does not start: %v", w.instances[k].name, err)
			}
			time.Sleep(time.Second)
		}
	}
	time.Sleep(time.Until(until))
}
