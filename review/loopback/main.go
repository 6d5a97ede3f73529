//go:build review

// Command loopback plays the cases of this review that are scripts. It starts the project's programs as
// separate processes on loopback addresses, with stand-ins of the store, the servers and the clients.
//
// # Usage
//
//	loopback CASE PROGRAM FOLDER
//
// PROGRAM is the project's program, FOLDER gets record.txt. TROUBLE=0 in the environment leaves the
// disruption out. The exit status is 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(f *fleet, trouble bool) (broken bool){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fail(fmt.Errorf("usage: loopback CASE PROGRAM FOLDER"))
	}
	rec := newRecord(os.Args[3])
	f := newFleet(os.Args[2], rec)
	broken := cases[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	f.stop()
	if broken {
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
