// Command standin runs a stand-in of the platform or of a worker as a separate process. Tests
// use it where the crash or freeze of a process matters.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"

	"gentianstand/internal/resource"
	standplatform "gentianstand/internal/standin/platform"
	standworker "gentianstand/internal/standin/worker"
)

func main() {
	kind := flag.String("kind", "", "kind of stand-in: platform or worker")
	listen := flag.String("listen", "", "address to listen on, host:port")
	id := flag.String("id", "", "id of a worker")
	cpu := flag.Int64("cpu", 16_000, "processor capacity of a worker, in thousandths of a core")
	memory := flag.Int64("memory", 32<<10, "memory capacity of a worker, in MiB")
	slots := flag.Int("slots", 8, "number of requests that a worker serves concurrently")
	serve := flag.Duration("serve", 2*time.Millisecond, "time to serve a request")
	flag.Parse()
	var handler http.Handler
	switch *kind {
	case "platform":
		store := standplatform.NewStore()
		handler = standplatform.NewServer(store, standplatform.NewFaultyStore(store)).Handler()
	case "worker":
		record := &standworker.Record{}
		w := standworker.New(standworker.Config{
			ID: *id, Slots: *slots, Work: time.Second, Serve: *serve,
			Capacity: resource.Amount{MilliCPU: *cpu, MemoryMiB: *memory},
		}, record, time.Now)
		handler = standworker.NewServer(w, record).Handler()
	default:
		fmt.Fprintln(os.Stderr, "-kind must be platform or worker")
		os.Exit(2)
	}
	if err := http.ListenAndServe(*listen, handler); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
