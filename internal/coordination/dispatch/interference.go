package dispatch

import (
	"maps"
	"math"
	"slices"
	"time"

	"gonum.org/v1/gonum/mat"

	"github.com/jujubearch/jujubearch/internal/state/job"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

// A best-effort task takes headroom from each serving task on its worker. The loss is the share of the worker's CPU
// that it uses, multiplied by a slope that depends on the images of the two tasks. The slopes are fitted by weighted
// least squares over the reports of all tasks of a serving image; older reports weigh less.
const (
	// initialSlope is the slope of a pair that was never observed: the loss of headroom if the best-effort task used
	// all CPUs of a worker. initialSlopeSD is its standard deviation. Images that share few resources have slopes
	// below 2, those that share many have slopes of 8 to 10.
	initialSlope   = 2
	initialSlopeSD = 3
	// reportDecay is the factor applied to the weight of older reports with each new one. About 2,000 reports count.
	reportDecay = 0.9995
	// refitInterval is the minimum time between two fits of the slopes.
	refitInterval = 500 * time.Millisecond
	// lossNoise is the relative error of an estimated loss: the reported CPU use of best-effort tasks is inexact too.
	lossNoise = 0.3
	// A change of a share of CPU of at most minShareChange shows nothing about interference. Between reports more
	// than maxReportGap apart, the load may have changed as well.
	minShareChange = 0.01
	maxReportGap   = 1500 * time.Millisecond
	// levelVarianceFactor multiplies the variance of a comparison with the estimated load. The error of that estimate
	// changes slowly, so that many reports contain the same error.
	levelVarianceFactor = 16
	// minRestoredSD is the minimum standard error of a restored slope: what an earlier leader learned may have
	// changed since.
	minRestoredSD = 0.5
	// offsetRate is the fraction of an error by which one report corrects the headroom offset of a task.
	offsetRate = 0.3
	// maxOffset limits the headroom offset of a task.
	maxOffset = 1.0
)

// imageNumbers numbers the best-effort images from 0.
type imageNumbers map[string]int

// of returns the number of an image. It adds the image if it is new.
func (n imageNumbers) of(image string) int {
	number, known := n[image]
	if !known {
		number = len(n)
		n[image] = number
	}
	return number
}

// interferenceModel holds the learned slopes of all pairs of images.
type interferenceModel struct {
	// fits holds the fits by serving image. They share the numbers of the best-effort images.
	fits     map[string]*slopeFit
	images   imageNumbers
	fittedAt time.Time
	// storedAt is when the slopes were last part of a commit. unstored is set if they have been fitted again since.
	storedAt time.Time
	unstored bool
	// unstorable is set if the slopes are too many to be stored.
	unstorable bool
}

func newInterferenceModel() interferenceModel {
	return interferenceModel{fits: make(map[string]*slopeFit), images: make(imageNumbers)}
}

// slopeFit is the least squares fit for one serving image.
type slopeFit struct {
	// columns maps each best-effort image to its column.
	columns map[string]int
	// squares and products are the weighted sums of the normal equations, times growth: instead of reducing all sums with
	// each report, a new one gets more weight.
	squares  [][]float64
	products []float64
	growth   float64
	// slopes is the solution, and stdErrors its standard errors.
	slopes, stdErrors []float64
	// pairs repeats the solution by the number of the best-effort image, for lookups without a search.
	images imageNumbers
	pairs  []pairSlope
}

// pairSlope is the slope of a pair of images, which is not negative, and its standard error.
type pairSlope struct{ slope, stdError float64 }

// cautious returns the slope plus an allowance for its error.
func (p pairSlope) cautious() float64 { return p.slope + slopeErrorFactor*p.stdError }

func newSlopeFit() *slopeFit {
	return &slopeFit{columns: make(map[string]int), images: make(imageNumbers), growth: 1}
}

// pair returns the slope for the best-effort image with a number. The fit may be nil: nothing is known then.
func (f *slopeFit) pair(number int) pairSlope {
	if f == nil || number >= len(f.pairs) {
		return pairSlope{initialSlope, initialSlopeSD}
	}
	return f.pairs[number]
}

// updatePairs copies the solution to pairs.
func (f *slopeFit) updatePairs() {
	for image, c := range f.columns {
		number := f.images.of(image)
		for number >= len(f.pairs) {
			f.pairs = append(f.pairs, pairSlope{initialSlope, initialSlopeSD})
		}
		f.pairs[number] = pairSlope{max(0, f.slopes[c]), f.stdErrors[c]}
	}
}

// column returns the column of a best-effort image. It adds one if the image is new.
func (f *slopeFit) column(bestEffort string) int {
	if c, known := f.columns[bestEffort]; known {
		return c
	}
	c := len(f.products)
	f.columns[bestEffort] = c
	for i := range f.squares {
		f.squares[i] = append(f.squares[i], 0)
	}
	f.squares = append(f.squares, make([]float64, c+1))
	f.products = append(f.products, 0)
	f.slopes = append(f.slopes, initialSlope)
	f.stdErrors = append(f.stdErrors, initialSlopeSD)
	return c
}

// fitFor returns the fit for a serving image. It adds one if the image is new.
func (m *interferenceModel) fitFor(serving string) *slopeFit {
	f, known := m.fits[serving]
	if !known {
		f = newSlopeFit()
		f.images = m.images
		m.fits[serving] = f
	}
	return f
}

// slopeOf returns the slope of a pair and its standard error.
func (m *interferenceModel) slopeOf(serving, bestEffort string) (slope, stdError float64) {
	f, known := m.fits[serving]
	if !known {
		return initialSlope, initialSlopeSD
	}
	p := f.pair(f.images.of(bestEffort))
	return p.slope, p.stdError
}

// loss returns the headroom that the best-effort images on a worker take from a serving image, and its variance.
func (m *interferenceModel) loss(serving string, shares imageShares) (loss, variance float64) {
	for _, s := range shares {
		slope, stdError := m.slopeOf(serving, s.image)
		loss += slope * s.share
		variance += stdError * stdError * s.share * s.share
	}
	return loss, variance
}

// add adds an observation: the headroom that was lost, the variance of its error, and the CPU share of each
// best-effort image.
func (f *slopeFit) add(loss, variance float64, shares imageShares) {
	f.growth /= reportDecay
	weight := f.growth / variance
	columns := make([]int, len(shares))
	for i, s := range shares {
		columns[i] = f.column(s.image)
	}
	for i, a := range shares {
		for j, b := range shares {
			f.squares[columns[i]][columns[j]] += a.share * b.share * weight
		}
		f.products[columns[i]] += a.share * loss * weight
	}
}

// normalise reduces the sums so that growth becomes 1.
func (f *slopeFit) normalise() {
	for i := range f.squares {
		for j := range f.squares[i] {
			f.squares[i][j] /= f.growth
		}
		f.products[i] /= f.growth
	}
	f.growth = 1
}

// fit solves the normal equations. If they can't be solved, the slopes stay as they are.
func (f *slopeFit) fit() {
	f.normalise()
	n := len(f.products)
	if n == 0 {
		return
	}
	const prior = 1.0 / (initialSlopeSD * initialSlopeSD)
	a := mat.NewSymDense(n, nil)
	b := mat.NewVecDense(n, nil)
	for i := range n {
		for j := i; j < n; j++ {
			a.SetSym(i, j, f.squares[i][j])
		}
		a.SetSym(i, i, f.squares[i][i]+prior)
		b.SetVec(i, f.products[i]+prior*initialSlope)
	}
	var factor mat.Cholesky
	if !factor.Factorize(a) { //nolint:misspell // the library spells it so
		return
	}
	var solved mat.VecDense
	var inverse mat.SymDense
	if factor.SolveVecTo(&solved, b) != nil || factor.InverseTo(&inverse) != nil {
		return
	}
	for i := range n {
		f.slopes[i], f.stdErrors[i] = solved.AtVec(i), math.Sqrt(inverse.At(i, i))
	}
	f.updatePairs()
}

// cpuShare returns the share of a worker's CPU that a best-effort task of the given size uses at full pace.
func cpuShare(size model.Resources, w *worker) float64 {
	if w.Capacity.CPUMillis <= 0 {
		return 0
	}
	return float64(size.CPUMillis) / float64(w.Capacity.CPUMillis)
}

// endedUse is the CPU use of a best-effort task that has ended but is still covered in part by the next report.
type endedUse struct {
	image string
	share float64
	ended time.Time
}

// recordEndedUse keeps the CPU use of an ended best-effort task until no report covers it any more.
func (w *worker) recordEndedUse(now time.Time, r *run) {
	if r.task != nil && r.task.step.BestEffort {
		w.recentlyEnded = append(w.recentlyEnded, endedUse{
			image: r.task.step.Image, share: r.reportedShare(), ended: now,
		})
	}
}

// reportedShare returns the share of its worker's CPU that a best-effort task used according to the last report.
func (r *run) reportedShare() float64 {
	return cpuShare(model.Resources{CPUMillis: int64(r.metric)}, r.worker)
}

// sharesByImage returns the CPU use of each best-effort image on a worker during the period that its newest report
// covers.
func (w *worker) sharesByImage(now time.Time) imageShares {
	var used imageShares
	for _, r := range w.orderedRuns {
		if r.task != nil && r.task.step.BestEffort && r.metric > 0 {
			used.add(r.task.step.Image, r.reportedShare())
		}
	}
	kept := w.recentlyEnded[:0]
	for _, e := range w.recentlyEnded {
		if covered := 1 - now.Sub(e.ended).Seconds()/reportWindow.Seconds(); covered > 0 {
			kept = append(kept, e)
			used.add(e.image, e.share*covered)
		}
	}
	w.recentlyEnded = kept
	return used
}

// slopesToStore returns the slopes, or nil if they need not be stored yet.
func (m *interferenceModel) slopesToStore(now time.Time) *job.Interference {
	if m.unstorable || !m.unstored || now.Sub(m.storedAt) < slopeStoreInterval {
		return nil
	}
	m.storedAt, m.unstored = now, false
	stored := &job.Interference{}
	for _, serving := range slices.Sorted(maps.Keys(m.fits)) {
		f := m.fits[serving]
		for _, bestEffort := range slices.Sorted(maps.Keys(f.columns)) {
			if c := f.columns[bestEffort]; f.stdErrors[c] < initialSlopeSD {
				stored.Pairs = append(stored.Pairs, job.InterferencePair{
					Serving: serving, BestEffort: bestEffort, Slope: f.slopes[c], StdError: f.stdErrors[c],
				})
			}
		}
	}
	return stored
}

// restoreSlopes takes over the slopes that an earlier leader learned.
func (m *interferenceModel) restoreSlopes(now time.Time, stored *job.Interference) {
	m.storedAt = now
	if stored == nil {
		return
	}
	for _, p := range stored.Pairs {
		f := m.fitFor(p.Serving)
		c := f.column(p.BestEffort)
		// The fit adds its own prior to this weight.
		weight := 1 / math.Pow(max(p.StdError, minRestoredSD), 2)
		f.squares[c][c], f.products[c] = weight, weight*p.Slope
	}
	for _, f := range m.fits {
		f.fit()
	}
}

// learnFromReports updates the slopes and the loads from the reports of a worker's serving tasks.
func (d *Dispatcher) learnFromReports(now time.Time, w *worker) {
	used := w.sharesByImage(now)
	change := w.previousShares.changeTo(used)
	w.previousShares = used
	for _, r := range w.orderedRuns {
		if !r.serving() {
			continue
		}
		if reported, ok := r.reportedHeadroom(); ok {
			d.learnSlopes(now, r, reported, used, change)
			d.learnLoad(now, r, reported, used)
		}
	}
	if now.Sub(d.interference.fittedAt) > refitInterval {
		d.interference.fittedAt, d.interference.unstored = now, true
		for _, f := range d.interference.fits {
			f.fit()
		}
	}
}

// learnSlopes compares a reported headroom with the one expected without best-effort tasks, and with the headroom in
// the previous report. The second comparison does not need the exact load of the task: between two reports the load
// hardly changes, whereas a change of the best-effort tasks shows at once.
func (d *Dispatcher) learnSlopes(now time.Time, r *run, reported float64, used, change imageShares) {
	previous, since := r.lastHeadroom, now.Sub(r.lastHeadroomAt)
	r.lastHeadroom, r.lastHeadroomAt = reported, now
	load := &r.task.step.load
	if !load.initialised() {
		return
	}
	f := d.interference.fitFor(r.task.step.Image)
	if len(used) > 0 {
		baseline := load.predict(now.Add(-reportWindow/2), 0)
		f.add(baseline-max(reported, saturatedHeadroom),
			levelVarianceFactor*(headroomVariance(reported)+load.levelVar), used)
	}
	if len(change) == 0 || previous == 0 || since > maxReportGap || min(previous, reported) < saturatedHeadroom {
		return
	}
	f.add(previous+load.trend*since.Seconds()-reported, headroomVariance(previous)+headroomVariance(reported), change)
}

// headroomVariance returns the variance of the error of a reported headroom.
func headroomVariance(reported float64) float64 {
	noise := tailNoise * max(reported, 1)
	return noise * noise
}

// learnLoad updates two estimates from a reported headroom: the load of the step, from the report plus the estimated
// loss to best-effort tasks, and the headroom offset of the task, from the difference that load and loss don't explain.
func (d *Dispatcher) learnLoad(now time.Time, r *run, reported float64, used imageShares) {
	load := &r.task.step.load
	loss, lossVar := d.interference.loss(r.task.step.Image, used)
	measured := now.Add(-reportWindow / 2)
	baseline := load.predict(measured, 0)
	if reported < saturatedHeadroom {
		// If the task is saturated, the report does not show how far the load exceeds its capacity.
		reported = min(reported, max(baseline-loss, -maxOffset))
	}
	residual := reported - (baseline - loss)
	r.headroomOffset = min(max(r.headroomOffset+offsetRate*(residual-r.headroomOffset), -maxOffset), maxOffset)
	load.observe(measured, reported+loss, headroomVariance(reported)+lossVar+lossNoise*lossNoise*loss*loss)
}
