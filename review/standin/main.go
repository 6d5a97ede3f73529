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
	"sync"
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
	"version": oldVersion,
	"rot":     rottenPieces,
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

// declare names a version of the weights.
func (f *fleet) declare(version int) {
	f.weights.newest.Store(int64(version))
	f.st.putJSON(names["versionKey"]+modelName, map[string]any{"Model": modelName, "Version": version})
	f.rec.add("version %d is declared", version)
}

// Bounds of the settings and the duration of a case.
const (
	configLimit  = 2 * time.Second
	stablePeriod = 3 * time.Second
	playTime     = 70 * time.Second
)

// laterRoute plays a day whose second configuration adds a route. It applies the rule on routes that
// were added later: requests on them must not be served less than a quarter as often as those on the
// first routes. Requests count that are sent later than stablePeriod after the trouble.
func (f *fleet) laterRoute(firstRoute string, first func(*tally), laterRoute string, later func(*tally), trouble func()) verdict {
	f.awaitReady()
	time.Sleep(8 * time.Second)
	firstTally, laterTally := &tally{}, &tally{}
	stop, done := make(chan struct{}), make(chan struct{}, 2)
	go func() {
		f.traffic(10, stop, func() { first(firstTally) })
		done <- struct{}{}
	}()
	f.configure(4, firstRoute, laterRoute)
	time.Sleep(configLimit + time.Second)
	go func() {
		f.traffic(5, stop, func() { later(laterTally) })
		done <- struct{}{}
	}()
	time.Sleep(time.Second)
	trouble()
	time.Sleep(stablePeriod)
	firstTally.begin()
	laterTally.begin()
	f.rec.add("requests count from now on")
	time.Sleep(playTime)
	close(stop)
	<-done
	<-done
	firstAsked, firstServed := firstTally.get()
	laterAsked, laterServed := laterTally.get()
	if firstAsked < 20 || laterAsked < 20 || firstServed == 0 {
		cannotRun("too few requests were sent or served")
	}
	share, want := float64(laterServed)/float64(laterAsked), float64(firstServed)/float64(firstAsked)/4
	return verdict{share < want, fmt.Sprintf("on the first route %d of %d are served, on the route added later %d of %d (%.3f, a quarter is %.3f)",
		firstServed, firstAsked, laterServed, laterAsked, share, want)}
}

const (
	orderRoute = "r-order"
	draftRoute = "r-draft"
)

// silentConnections lets the open connections to the model runners fall silent when a version of the
// weights is declared. New connections work.
func silentConnections(f *fleet, trouble bool) verdict {
	s := newSilencer()
	f.configure(1, orderRoute)
	f.addOrderRunners(2, 60*time.Millisecond)
	f.addModelRunners(3, s.proxy)
	for _, m := range f.models {
		m.stageDelay = 5 * time.Millisecond
	}
	f.startEntries(2)
	f.startAgents()
	return f.laterRoute(orderRoute, f.order, draftRoute, f.draft, func() {
		f.declare(2)
		if trouble {
			f.rec.add("%d open connections to the model runners fall silent", s.silence())
		}
	})
}

// spoiltDigests lets the origin spoil the first two answers with digests of a version.
func spoiltDigests(f *fleet, trouble bool) verdict {
	f.configure(1, orderRoute)
	f.addOrderRunners(2, 60*time.Millisecond)
	f.addModelRunners(2, nil)
	f.startEntries(2)
	f.startAgents()
	return f.laterRoute(orderRoute, f.order, draftRoute, f.draft, func() {
		if trouble {
			f.weights.spoilDigests(2)
		}
		f.declare(2)
	})
}

// foreignEntries lets another writer put entries of a service that is not configured beside those of
// the order runners, with the same addresses.
func foreignEntries(f *fleet, trouble bool) verdict {
	f.configure(1, draftRoute)
	f.addOrderRunners(3, 60*time.Millisecond)
	f.addModelRunners(2, nil)
	f.startEntries(2)
	f.startAgents()
	return f.laterRoute(draftRoute, f.draft, orderRoute, f.order, func() {
		if !trouble {
			return
		}
		for i, o := range f.orders {
			f.st.putJSON(fmt.Sprintf("%sx-%d", names["serverKey"], i), map[string]any{"Service": "host-inventory", "Address": o.address, "Zone": "ms-delta-a", "Version": "v1",
				"Slots": 1, "State": "ready", "ColdLeftMs": 0, "Sequence": 1, "born": time.Now().UnixMilli()})
			f.rec.add("another writer puts an entry of the service host-inventory with the address %s", o.address)
		}
	})
}

const versionLimit = 8 * time.Second

// oldVersion names a version while the origin of weights is away. One of three model runners does not
// drop a request whose connection is closed.
func oldVersion(f *fleet, trouble bool) verdict {
	f.configure(1, orderRoute, draftRoute)
	f.addModelRunners(3, nil)
	var mu sync.Mutex
	begun, late := 0, 0
	var declaredAt time.Time
	for i, m := range f.models {
		m.firstDelay = time.Second
		m.keepsOn = i == 0
		m.begins = func(id string, version int) {
			mu.Lock()
			defer mu.Unlock()
			begun++
			if declaredAt.IsZero() || version >= 2 {
				return
			}
			if age := time.Since(declaredAt); age > versionLimit {
				late++
				f.rec.add("runner %s begins %s on version %d, %.3f s after version 2 was acknowledged", m.id, id, version, age.Seconds())
			}
		}
	}
	f.startEntries(2)
	f.startAgents()
	f.awaitReady()
	time.Sleep(8 * time.Second)
	drafts := &tally{}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		f.traffic(30, stop, func() { f.draft(drafts) })
		close(done)
	}()
	time.Sleep(4 * time.Second)
	if trouble {
		f.weights.isDown.Store(true)
		f.rec.add("the origin of weights is away")
		time.AfterFunc(6*time.Second, func() {
			f.weights.isDown.Store(false)
			f.rec.add("the origin of weights is back")
		})
	}
	f.declare(2)
	mu.Lock()
	declaredAt = time.Now()
	mu.Unlock()
	time.Sleep(16 * time.Second)
	close(stop)
	<-done
	asked, served := drafts.get()
	mu.Lock()
	defer mu.Unlock()
	return verdict{late > 0, fmt.Sprintf("%d requests began, %d of them on version 1 more than %v after version 2; served %d of %d", begun, late, versionLimit, served, asked)}
}

// rottenPieces lets a few of the pieces that lie at one of three model runners turn bad while a version
// is staged there.
func rottenPieces(f *fleet, trouble bool) verdict {
	f.configure(1, orderRoute, draftRoute)
	f.addModelRunners(3, nil)
	var mu sync.Mutex
	begun, spoilt := 0, 0
	var once sync.Once
	for i, m := range f.models {
		m.stageDelay = 50 * time.Millisecond
		m.begins = func(id string, version int) {
			mu.Lock()
			defer mu.Unlock()
			begun++
			if m.hasSpoiltLayers() {
				spoilt++
				f.rec.add("runner %s makes the first token of %s with spoilt layers of version %d", m.id, id, version)
			}
		}
		if i == 0 && trouble {
			m.onStage = func(pieces int) {
				if pieces == chunkCount/3+1 {
					once.Do(func() { m.rot(0, chunkCount/3, 2*chunkCount/3) })
				}
			}
		}
	}
	f.startEntries(2)
	f.startAgents()
	f.awaitReady()
	time.Sleep(8 * time.Second)
	drafts := &tally{}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		f.traffic(15, stop, func() { f.draft(drafts) })
		close(done)
	}()
	time.Sleep(2 * time.Second)
	f.declare(2)
	time.Sleep(25 * time.Second)
	close(stop)
	<-done
	asked, served := drafts.get()
	mu.Lock()
	defer mu.Unlock()
	return verdict{spoilt > 0, fmt.Sprintf("%d requests began, %d of them with layers that were taken with a piece bad for over %v; served %d of %d", begun, spoilt, rotLimit, served, asked)}
}
