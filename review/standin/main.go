//go:build review

// Command standin runs one case of the review: the project's entries and agents as separate
// processes, with stand-ins of the store, the origin of weights, the runners and the clients.
//
//	standin CASE RECORD
//
// It is started in the repository's root. It exits with 1 if the rule was broken, 0 if it held, and
// 2 if the case could not run. With TROUBLE=0 in the environment there is no disruption.
package main

import (
	"fmt"
	"os"
	"time"
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	why    string
}

var cases = map[string]func(f *fleet, trouble bool) verdict{
	"silent":  silentConnections,
	"digests": spoiltDigests,
	"bodies":  largeBodies,
	"paths":   doubleSlash,
	"foreign": foreignEntries,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	rec := &record{f: file, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	time.AfterFunc(118*time.Second, func() { cannotRun("the case takes too long") })
	f := newFleet(rec)
	v := cases[os.Args[1]](f, trouble)
	f.end()
	rec.add("broken: %v: %s", v.broken, v.why)
	fmt.Printf("broken: %v: %s\n", v.broken, v.why)
	_ = file.Close()
	if v.broken {
		os.Exit(1)
	}
}

// starved applies the rule on kinds of requests that are served less than a quarter as often as all.
func starved(drafts, orders *tally) verdict {
	draftsAsked, draftsServed := drafts.get()
	ordersAsked, ordersServed := orders.get()
	if draftsAsked == 0 || ordersAsked == 0 {
		cannotRun("no requests were sent")
	}
	draft := float64(draftsServed) / float64(draftsAsked)
	order := float64(ordersServed) / float64(ordersAsked)
	all := float64(draftsServed+ordersServed) / float64(draftsAsked+ordersAsked)
	return verdict{min(draft, order) < all/4, fmt.Sprintf("streams served %d of %d (%.3f), orders %d of %d (%.3f), all %.3f",
		draftsServed, draftsAsked, draft, ordersServed, ordersAsked, order, all)}
}

// declare names a version of the weights.
func (f *fleet) declare(version int) {
	f.weights.newest.Store(int64(version))
	f.st.putJSON(names["versionKey"]+modelName, map[string]any{"Model": modelName, "Version": version})
	f.rec.add("version %d is declared", version)
}

// mixedTraffic sends streams and orders for a time.
func (f *fleet) mixedTraffic(d time.Duration, draftsPerSecond, ordersPerSecond float64) (wait func() (drafts, orders *tally)) {
	drafts, orders := &tally{}, &tally{}
	stop, done := make(chan struct{}), make(chan struct{}, 2)
	go func() {
		f.traffic(draftsPerSecond, stop, func() { f.draft(drafts) })
		done <- struct{}{}
	}()
	go func() {
		f.traffic(ordersPerSecond, stop, func() { f.order(orders) })
		done <- struct{}{}
	}()
	time.AfterFunc(d, func() { close(stop) })
	return func() (*tally, *tally) {
		<-done
		<-done
		return drafts, orders
	}
}

// silentConnections lets the open connections to the model runners fall silent when a version of the
// weights is declared. New connections work.
func silentConnections(f *fleet, trouble bool) verdict {
	s := newSilencer()
	f.configure()
	f.addOrderRunners(2, 60*time.Millisecond)
	f.addModelRunners(3, s.proxy)
	for _, m := range f.models {
		m.stageDelay = 5 * time.Millisecond
	}
	f.startEntries(2)
	f.startAgents()
	f.awaitReady()
	time.Sleep(8 * time.Second)
	wait := f.mixedTraffic(90*time.Second, 5, 15)
	time.Sleep(time.Second)
	f.declare(2)
	if trouble {
		f.rec.add("%d open connections to the model runners fall silent", s.silence())
	}
	return starved(wait())
}

// spoiltDigests lets the origin spoil the first two answers with digests of a version.
func spoiltDigests(f *fleet, trouble bool) verdict {
	f.configure()
	f.addOrderRunners(2, 60*time.Millisecond)
	f.addModelRunners(2, nil)
	f.startEntries(2)
	f.startAgents()
	f.awaitReady()
	time.Sleep(8 * time.Second)
	wait := f.mixedTraffic(90*time.Second, 5, 15)
	time.Sleep(time.Second)
	if trouble {
		f.weights.spoilDigests(2)
	}
	f.declare(2)
	return starved(wait())
}

// foreignEntries lets another writer put entries of a service that is not configured beside those of
// the order runners, with the same addresses.
func foreignEntries(f *fleet, trouble bool) verdict {
	f.configure()
	f.addOrderRunners(3, 60*time.Millisecond)
	f.addModelRunners(2, nil)
	f.startEntries(2)
	f.startAgents()
	f.awaitReady()
	time.Sleep(8 * time.Second)
	wait := f.mixedTraffic(60*time.Second, 15, 5)
	time.Sleep(time.Second)
	if trouble {
		for i, o := range f.orders {
			f.st.putJSON(fmt.Sprintf("%sx-%d", names["serverKey"], i), map[string]any{"Service": "host-inventory", "Address": o.address, "Zone": "ms-delta-a", "Version": "v1",
				"Slots": 1, "State": "ready", "ColdLeftMs": 0, "Sequence": 1, "born": time.Now().UnixMilli()})
			f.rec.add("another writer puts an entry of the service host-inventory with the address %s", o.address)
		}
	}
	return starved(wait())
}
