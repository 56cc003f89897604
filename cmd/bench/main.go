// Command bench simulates deployments under load and prints the measures M1 to M4 of
// package benchmarker with their goals and baselines. It can also write them to
// measures.csv.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/bergamotdale/bergamotdale/benchmarker"
	"github.com/bergamotdale/bergamotdale/workloader"
)

func main() {
	var seed uint64 = 1
	scale := 1.0
	parallel := 4
	directory := ""
	flaggy.SetName("bench")
	flaggy.SetDescription("measures cache reuse, urgent latency, minimum shares and isolation")
	flaggy.UInt64(&seed, "s", "seed", "seed of the workload")
	flaggy.Float64(&scale, "", "scale", "length of the measured time relative to the full run")
	flaggy.Int(&parallel, "p", "parallel", "number of runs at the same time")
	flaggy.String(&directory, "o", "output", "directory for measures.csv")
	flaggy.Parse()

	rows := benchmarker.Measure(benchmarker.Options{Seed: seed, Scale: scale, Parallel: parallel},
		workloader.Hanbit(), workloader.Vrbensky(), workloader.Target())
	err := benchmarker.Print(os.Stdout, seed, rows)
	if err == nil && directory != "" {
		err = benchmarker.WriteCSV(directory, seed, rows)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
