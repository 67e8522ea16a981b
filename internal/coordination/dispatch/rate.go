package dispatch

const (
	// longRunningCPUFraction is the fraction of its requested CPU that a long-running task is assumed to use. The
	// reports of serving tasks contain the tail latency but not the CPU use.
	longRunningCPUFraction = 0.5
	// minAcceptedGain is the fraction of its value that a best-effort task must gain on a worker to be placed there
	// before it has waited for bestEffortMaxWait.
	minAcceptedGain = 0.3
	// maxAcceptedLoss is the maximum headroom that such a task may take from all its neighbours together.
	maxAcceptedLoss = 1.0
	// sameImageBonus and otherImagePenalty, in cores, group serving tasks of one image on the same workers, so that
	// best-effort tasks there affect fewer images. Among such workers the fullest is chosen, so that some workers
	// remain without serving tasks and can run the best-effort tasks that harm all of them.
	sameImageBonus    = 30
	otherImagePenalty = 10
	// unhealthyPenalty makes an unhealthy worker the last choice, and likewise the worker on which the task itself
	// failed last.
	unhealthyPenalty = 1000
	// haltingPenalty makes a worker that halts its best-effort tasks the last choice for further ones.
	haltingPenalty = 500
	// remoteDataPenalty makes a worker in another rack than the task's data worse than one in the same rack.
	remoteDataPenalty = 100
)

// scoreWorker scores a worker for a task. For best-effort tasks the score is the gain of running there; for others it
// is in cores.
func (p *pass) scoreWorker(t *task, w *worker) scoredWorker {
	// Short tasks go to the fullest worker that has room, which leaves room for large ones elsewhere.
	c := scoredWorker{worker: w, score: -float64(w.free().CPUMillis) / millisPerCore, accepted: true}
	switch {
	case t.crashes > 0:
		c.score = w.suspectScore(p.now)
	case t.step.BestEffort:
		c.score, c.accepted = p.bestEffortScore(t, w)
	case t.step.TailLatencyTarget > 0:
		c.score = w.servingScore(t.step.Image)
	}
	if w.health.unhealthy() || t.lastFailedOn == w {
		c.score -= unhealthyPenalty
		c.accepted = c.accepted && !t.step.BestEffort
	}
	if t.step.DataRack != "" && t.step.DataRack != w.Rack {
		c.score -= remoteDataPenalty
	}
	return c
}

// bestEffortScore scores a worker for a best-effort task: the gain, less the headroom that the serving tasks there
// lose, less the opportunity cost for other images.
func (p *pass) bestEffortScore(t *task, w *worker) (score float64, accepted bool) {
	e := p.d.estimateFor(p.now, w, t.step)
	gain := t.owner.workValue*e.speed - e.cost
	if w.forecast.halting {
		return gain - e.loss - e.opportunityCost - haltingPenalty, false
	}
	return gain - e.loss - e.opportunityCost, gain >= minAcceptedGain*t.owner.workValue && e.loss <= maxAcceptedLoss
}

// mayUseMemory reports whether a best-effort task may take memory of a worker. One that has waited for long may take it on a
// worker that is at most half full, whatever other tasks need.
func (p *pass) mayUseMemory(t *task, w *worker) bool {
	return p.leavesMemory(t.step, w) || w.used.Add(w.used).FitsIn(w.Capacity) && !p.canWait(t)
}

// leavesMemory reports whether a worker with a further best-effort task would still have the memory that other tasks
// need in order to use its free CPU.
func (p *pass) leavesMemory(s *step, w *worker) bool {
	freeMemory := w.free().MemoryBytes - s.Size.MemoryBytes
	return float64(freeMemory) >= float64(w.free().CPUMillis)*p.d.memoryPerCPU
}

// servingScore scores a worker for a serving task of an image.
func (w *worker) servingScore(image string) float64 {
	score := -float64(w.free().CPUMillis) / millisPerCore
	for _, r := range w.orderedRuns {
		switch {
		case r.task == nil || r.task.step.TailLatencyTarget <= 0:
		case r.task.step.Image == image:
			score += sameImageBonus
		default:
			score -= otherImagePenalty
		}
	}
	return score
}

// millisPerCore is the number of thousandths in one core.
const millisPerCore = 1000

// unusedCores estimates how many cores the tasks of a worker leave unused.
func (w *worker) unusedCores() float64 {
	used := 0.0
	for _, r := range w.orderedRuns {
		if r.task == nil {
			continue
		}
		cores := float64(r.task.step.Size.CPUMillis) / millisPerCore
		switch {
		case r.task.step.BestEffort:
			used += cores
		case r.task.step.LongRunning:
			used += cores * longRunningCPUFraction
		default:
			used += cores
		}
	}
	capacity := float64(w.Capacity.CPUMillis) / millisPerCore
	return capacity - used
}
