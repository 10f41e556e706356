package main

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"syscall"
	"time"
)

// Parameters of quotaTwice.
const (
	// quotaRate and quotaBurst are the tenant's quota.
	quotaRate  = 46.0
	quotaBurst = 46.0
	// quotaWindow, quotaOverage and quotaSlack are the bounds of the rule.
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20.0
	// cutFor is how long two machines are cut off.
	cutFor = 5500 * time.Millisecond
	// killAfter is the time from the start of the cut to the kill of their processes, and
	// startAfter from that to their start.
	killAfter  = 300 * time.Millisecond
	startAfter = 300 * time.Millisecond
)

// quotaTwice kills the processes of two machines while these are cut off from the others, and
// counts what a tenant's requests that run add up to.
func quotaTwice(record string) (violated bool, err error) {
	w, err := newWorld(record, time.Second)
	if err != nil {
		return false, err
	}
	defer w.end()
	w.bounds, w.proxied = evacuationBounds, true
	config := configuration(5, []string{"finder"}, singleRoute("r", "a.example", "/x/", "finder"))
	config["tenants"] = []any{map[string]any{"name": "t1", "api_keys": []string{"k1"}, "rate_per_s": quotaRate, "burst": quotaBurst}}
	if _, err := prepare(w, 15, []string{"north", "centre", "south"}, []string{"finder"}, 15, config); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	results := w.load(w.nodes, 16*time.Millisecond, func(n *node, number int) request {
		return request{id: fmt.Sprintf("%s-%d", n.name, number), key: "k1", method: http.MethodGet, host: "a.example", path: "/x/1", node: n, deadline: time.Second}
	}, stop)
	time.Sleep(8 * time.Second)
	began := time.Now()
	if w.trouble {
		cut := []*node{w.nodes[0], w.nodes[4]}
		w.links.cutOff(cut)
		w.note("%s and %s are cut off from the other machines", cut[0].name, cut[1].name)
		time.Sleep(time.Until(began.Add(killAfter)))
		for _, n := range cut {
			n.signal(syscall.SIGKILL)
		}
		w.note("the processes of both are killed")
		for _, n := range cut {
			<-n.exited
		}
		time.Sleep(startAfter)
		for _, n := range cut {
			if err := w.startNode(n); err != nil {
				return false, err
			}
		}
		w.note("they are started")
	}
	time.Sleep(time.Until(began.Add(cutFor)))
	w.links.heal()
	w.note("the cut ends")
	time.Sleep(6 * time.Second)
	close(stop)
	statuses, sent := map[int]int{}, map[string]time.Time{}
	for _, res := range results() {
		statuses[res.status]++
		sent[res.request.id] = res.sent
	}
	w.note("answers by status: %v", statuses)
	return w.countQuota(sent, "t1"), nil
}

// run is a request that a backend has run.
type run struct{ sent, arrived time.Time }

// countQuota reports whether more requests of a tenant were sent and ran in a window than its
// quota allows.
func (w *world) countQuota(sent map[string]time.Time, tenant string) bool {
	var runs []run
	perSecond := map[int]int{}
	for _, a := range w.allArrivals() {
		if at, found := sent[a.id]; found && a.tenant == tenant && a.executed {
			runs = append(runs, run{sent: at, arrived: a.at})
			perSecond[int(w.at(a.at))]++
		}
	}
	worst, from := 0, w.start
	for _, first := range runs {
		count := 0
		for _, other := range runs {
			if !other.sent.Before(first.sent) && other.arrived.Sub(first.sent) <= quotaWindow {
				count++
			}
		}
		if count > worst {
			worst, from = count, first.sent
		}
	}
	seconds := slices.Sorted(maps.Keys(perSecond))
	for _, second := range seconds {
		w.note("second %d: %d requests ran", second, perSecond[second])
	}
	bound := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack
	w.note("worst window: %d requests sent and run from %.3f on, bound %.0f", worst, w.at(from), bound)
	return float64(worst) > bound
}
