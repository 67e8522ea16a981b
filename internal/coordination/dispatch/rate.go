package dispatch

const (
	// servingLoad is the share of its declared processors that a serving task is taken to use. Its reports hold the
	// tail and not the use.
	servingLoad = 0.5
	// acceptedGain is the part of its worth that a filling task must gain on a worker to be placed there without having
	// waited.
	acceptedGain = 0.3
	// acceptedLoss is the headroom that it may take from all its neighbours together then.
	acceptedLoss = 1.0
	// sameImageBonus and otherImagePenalty, in cores, gather serving tasks of one image on the same workers: what fills
	// beside them then has fewer images to be harmless to. Among such workers the fullest is taken, so that some stay
	// without serving tasks and take what harms all of them.
	sameImageBonus    = 30
	otherImagePenalty = 10
	// suspectPenalty, in cores, keeps work from workers whose last runs failed, as long as another has room.
	suspectPenalty = 1000
	// remotePenalty, in cores, makes a rack without the data worse than a rack with it.
	remotePenalty = 100
)

// rate rates a worker for a task; the score is in cores that stay free, or in what filling work gains.
func (p *pass) rate(t *task, w *worker) choice {
	c := choice{worker: w, score: float64(w.free().CPUMillis) / millis, accepted: true}
	switch {
	case t.step.Fills:
		c.score, c.accepted = p.fillingScore(t, w)
	case t.step.TailTarget > 0:
		c.score = w.servingScore(t.step.Image)
	}
	if w.health.suspect() || t.avoid == w {
		c.score -= suspectPenalty
		c.accepted = c.accepted && !t.step.Fills
	}
	if t.step.DataRack != "" && t.step.DataRack != w.Rack {
		c.score -= remotePenalty
	}
	return c
}

// fillingScore rates a worker for a filling task. Among workers with equal gains, the one is taken that loses the least
// headroom and is of the least use to other images.
func (p *pass) fillingScore(t *task, w *worker) (score float64, accepted bool) {
	gain, loss := p.d.fillingGain(p.outlook(w), w, t.step, t.owner.value)
	return gain - loss - p.d.lostBy(w, t.step.Image), gain >= acceptedGain*t.owner.value && loss <= acceptedLoss
}

func (p *pass) outlook(w *worker) *outlook {
	o := p.outlooks[w]
	if o == nil {
		o = p.d.outlookOf(p.now, w)
		p.outlooks[w] = o
	}
	return o
}

// roomToFill reports whether a worker has memory for a filling task beyond what tasks that do not fill need to use its
// free processors.
func (p *pass) roomToFill(s *step, w *worker) bool {
	after := w.free().MemoryBytes - s.Size.MemoryBytes
	return float64(after) >= float64(w.free().CPUMillis)*p.d.memoryPerCPU
}

// servingScore rates a worker for a serving task of an image.
func (w *worker) servingScore(image string) float64 {
	score := -float64(w.free().CPUMillis) / millis
	for _, r := range w.list {
		switch {
		case r.task == nil || r.task.step.TailTarget <= 0:
		case r.task.step.Image == image:
			score += sameImageBonus
		default:
			score -= otherImagePenalty
		}
	}
	return score
}

// millis is the number of thousandths in one core.
const millis = 1000

// spareCores estimates the cores that the tasks of a worker leave unused.
func (w *worker) spareCores() float64 {
	used := 0.0
	for _, r := range w.list {
		if r.task == nil {
			continue
		}
		cores := float64(r.task.step.Size.CPUMillis) / millis
		switch {
		case r.task.step.Fills:
			used += cores
		case r.task.step.Lasting:
			used += cores * servingLoad
		default:
			used += cores
		}
	}
	capacity := float64(w.Capacity.CPUMillis) / millis
	return capacity - used
}
