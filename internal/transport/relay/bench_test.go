package relay

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// Bounds for each started task at any size of the fleet: messages to relays, bytes on both ways between leader and
	// relays, and calls to the worker, of which one is the start and the others are holds.
	maxMessagesPerStart    = 1.0
	maxBytesPerStart       = 600.0
	maxWorkerCallsPerStart = 6.0
)

// BenchmarkLeader drives a leader with six relays over loopback, at 2.3 starts a second for each worker. Its profile
// shows where the leader's time goes: go test -bench Leader -cpuprofile cpu.out, without the functions of agents and
// workers, which run in the same process.
func BenchmarkLeader(b *testing.B) {
	for _, workers := range []int{350, 1100} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			const dataCentres, tasks = 6, 40
			f := newFleet(workers, dataCentres)
			l := startLeader(b, f, 1)
			for i := range dataCentres {
				l.startAgent(b, fmt.Sprint("relay-", i), fmt.Sprint("dc-", i), f)
			}
			time.Sleep(relaySettle)
			const servingTasks = 24
			for n := range 6 * workers / servingTasks {
				l.submit(b, servingJob(n, servingTasks))
			}
			time.Sleep(relaySettle)
			messages, bytes, calls, starts := l.messages.Load(), l.bytes.Load(), f.calls.Load(), f.starts.Load()
			interval := time.Duration(float64(time.Second) * tasks / (2.3 * float64(workers)))
			n := 0
			for b.Loop() {
				l.submit(b, testJob(fmt.Sprintf("%x%015x", n%9, n), tasks, n%5 > 0))
				n++
				time.Sleep(interval)
			}
			started := float64(f.starts.Load() - starts)
			if started < tasks {
				return
			}
			report := func(name string, total int64, bound float64) {
				ratio := float64(total) / started
				b.ReportMetric(ratio, name)
				if n > 50 {
					assert.Check(b, ratio <= bound, "%s: %.2f, bound %.2f", name, ratio, bound)
				}
			}
			report("messages/start", l.messages.Load()-messages, maxMessagesPerStart)
			report("bytes/start", l.bytes.Load()-bytes, maxBytesPerStart)
			report("worker-calls/start", f.calls.Load()-calls, maxWorkerCallsPerStart)
			assert.Equal(b, f.doubled.Load(), int64(0))
			b.ReportMetric(started/b.Elapsed().Seconds(), "starts/s")
		})
	}
}

// relaySettle allows for the election, the first read of the workers and the first offers of relays.
const relaySettle = time.Second
