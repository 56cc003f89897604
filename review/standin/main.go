// Command standin plays the cases of the review on loopback: it starts routers as
// processes, and is itself their store, their engines, their clients and the platform
// that starts, probes and limits them. What it does follows the users' pages.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario is a case: it plays on the stage and returns what the judge has to say.
type scenario func(s *stage) (verdict, error)

var scenarios = map[string]scenario{
	"foreign":     playForeign,
	"descriptors": playDescriptors,
	"bodies":      playBodies,
	"extra":       playExtra,
	"lookups":     playLookups,
}

// verdict is the result of a scenario.
type verdict struct {
	broken bool
	text   string
}

func main() {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO RECORD TROUBLE, where TROUBLE is 0 to play without the disruption")
		os.Exit(exitNotRun)
	}
	os.Exit(run(scenarios[os.Args[1]], os.Args[2], os.Args[3] != "0"))
}

// run plays the scenario, with its disruption or without, and writes the record to the path.
func run(play scenario, path string, trouble bool) int {
	record, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	s, err := newStage(record, trouble)
	if err != nil {
		record.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.close()
	go s.closeOnSignal()
	began := time.Now()
	v, err := play(s)
	if err != nil {
		record.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	record.note("verdict after %s: broken %t: %s", time.Since(began).Round(time.Second), v.broken, v.text)
	fmt.Printf("trouble %t, broken %t: %s\n", s.trouble, v.broken, v.text)
	if v.broken {
		return exitBroken
	}
	return exitHeld
}
