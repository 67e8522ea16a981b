package placement

import (
	"math"
	"time"
)

// LoadBand is the load band of a service instance.
type LoadBand uint8

// Load bands, by the share of the declared CPU that the instance uses.
const (
	BandLow LoadBand = iota
	BandMiddle
	BandHigh
	bandCount
)

// LoadBandOf returns the band of a load, which is the CPU used divided by the CPU declared.
func LoadBandOf(load float64) LoadBand {
	switch {
	case load < 0.35:
		return BandLow
	case load < 0.65:
		return BandMiddle
	}
	return BandHigh
}

// Each neighbour multiplies the latency of a service by a factor, so the model is linear in the logarithm of the ratio
// of latency to target. All means and variances below are in this logarithmic scale.
const (
	// priorSelfMean and priorSelfVar describe an instance alone on its worker before any measurement: the mean is half
	// of its latency target.
	priorSelfMean = -0.69
	priorSelfVar  = 0.09
	// priorPairMean and priorPairVar describe an unknown neighbour: a slowdown of 4% with a standard deviation of 10%.
	priorPairMean = 0.04
	priorPairVar  = 0.01
	// varianceRecoverySeconds is the time in which a variance without new windows grows from 0 back to its prior.
	varianceRecoverySeconds = 3600
	// initialNoiseVar is the initial noise variance of a single window, and minNoiseVar its lower bound.
	initialNoiseVar = 0.01
	minNoiseVar     = 0.0009
	// peakHalfLifeSeconds is the time in which the distance of a peak from the mean halves.
	peakHalfLifeSeconds = 3600
	// meanHalfLifeSeconds is the time in which the distance of an absent neighbour's mean from its prior halves.
	meanHalfLifeSeconds = 1800
	// minPeakWindows is the number of windows after which a mean is certain enough to be kept as a peak.
	minPeakWindows = 30
	// shiftThreshold is the mean squared normalised error at which the model assumes that the impact of the neighbours
	// present has changed.
	shiftThreshold = 3
	// shiftVarianceFactor multiplies the variances of neighbours after such a shift, so that new windows count more
	// than old ones. The service's own term keeps its variance: the band covers its own load, and it is neighbours that
	// shift.
	shiftVarianceFactor = 2
	// confidenceDeviations is the number of standard deviations that an upper bound adds (one-sided 90%).
	confidenceDeviations = 1.28
)

// selfKind stands in place of a neighbour's kind for the service's own term.
const selfKind = ""

// pairKey identifies the impact of a neighbour's kind on a service at a load band of the service.
type pairKey struct {
	service   string
	neighbour string
	band      LoadBand
}

// pair is the estimated mean and variance of what one neighbour of a kind adds to the logarithm of the latency ratio.
type pair struct {
	mean, variance float64
	// peak is the largest recent mean.
	peak float64
	// fromOtherBand is true for a pair that was initialised with the mean and peak of another band.
	fromOtherBand bool
	// windows is the number of windows observed.
	windows int
	updated time.Time
}

// peakAt returns the largest recent mean, with exponential decay. For a neighbour with periodic load, a prediction from
// the mean alone would place too much in a quiet period and overload the worker in the next busy one.
func (p *pair) peakAt(now time.Time) float64 {
	if p.peak <= p.mean {
		return p.mean
	}
	return p.mean + (p.peak-p.mean)*math.Exp2(-now.Sub(p.updated).Seconds()/peakHalfLifeSeconds)
}

// serviceNoise is the variance of a service's single windows around the prediction.
type serviceNoise struct {
	variance float64
	// meanSquaredError is the moving average of the squared residual divided by its expected variance; 1 is as
	// expected.
	meanSquaredError float64
}

// Slowdown is a learned model of the impact of neighbours on the latency of services. It is not safe for concurrent
// use.
type Slowdown struct {
	pairs map[pairKey]*pair
	noise map[string]*serviceNoise
	// learns is false for a model that ignores all observations.
	learns bool
}

// NewSlowdown returns a model without observations.
func NewSlowdown() *Slowdown {
	return &Slowdown{pairs: make(map[pairKey]*pair), noise: make(map[string]*serviceNoise), learns: true}
}

// NewFixedSlowdown returns a model that ignores all observations, as a baseline for comparisons.
func NewFixedSlowdown() *Slowdown {
	m := NewSlowdown()
	m.learns = false
	return m
}

// Prediction is the predicted ratio of a service's latency to its target.
type Prediction struct {
	Mean float64
	// Upper is the upper confidence bound for a single window. It uses the recent peaks of the neighbours and includes
	// the noise of a window.
	Upper float64
	// Windows is the number of windows observed for the pair with the fewest.
	Windows int
}

// lookup returns the pair aged to now, without storing it. An unknown pair takes the mean and peak of the nearest known
// band and the variance of the prior.
func (m *Slowdown) lookup(now time.Time, key pairKey) pair {
	prior := pair{mean: priorPairMean, variance: priorPairVar, updated: now}
	if key.neighbour == selfKind {
		prior.mean, prior.variance = priorSelfMean, priorSelfVar
	}
	prior.peak = prior.mean
	if p := m.pairs[key]; p != nil {
		aged := *p
		age := max(now.Sub(p.updated).Seconds(), 0)
		aged.variance = min(aged.variance+prior.variance*age/varianceRecoverySeconds, max(aged.variance, prior.variance))
		aged.peak = p.peakAt(now)
		if key.neighbour != selfKind {
			// A kind that is kept off the service's workers because of its impact yields no windows. As its mean
			// decays, it is placed there again and gets new ones.
			decay := math.Exp2(-age / meanHalfLifeSeconds)
			aged.mean = prior.mean + (aged.mean-prior.mean)*decay
			aged.peak = prior.mean + (aged.peak-prior.mean)*decay
		}
		aged.updated = now
		return aged
	}
	for _, band := range nearestBands[key.band] {
		if p := m.pairs[pairKey{key.service, key.neighbour, band}]; p != nil {
			prior.mean, prior.peak, prior.fromOtherBand = p.mean, p.peakAt(now), true
			return prior
		}
	}
	return prior
}

// nearestBands lists for each band the other bands, nearest first.
var nearestBands = [bandCount][]LoadBand{{BandMiddle, BandHigh}, {BandLow, BandHigh}, {BandMiddle, BandLow}}

// Predict returns the ratio of a service instance's latency to its target on a worker. The mix holds all tasks on the
// worker, including the instance itself.
func (m *Slowdown) Predict(now time.Time, service string, band LoadBand, mix Mix) Prediction {
	return m.predictWith(now, service, band, mix, selfKind)
}

// predictWith predicts with one more task of addedKind; selfKind adds none.
func (m *Slowdown) predictWith(now time.Time, service string, band LoadBand, mix Mix, addedKind string) Prediction {
	own := m.lookup(now, pairKey{service, selfKind, band})
	mean, peak, variance, windows := own.mean, own.mean, own.variance, own.windows
	add := func(kind string, weight float64) {
		if weight <= 0 {
			return
		}
		p := m.lookup(now, pairKey{service, kind, band})
		mean += weight * p.mean
		peak += weight * p.peakAt(now)
		variance += weight * weight * p.variance
		windows = min(windows, p.windows)
	}
	inMix := false
	for _, entry := range mix {
		weight := neighbourWeight(service, entry)
		if entry.Kind == addedKind {
			weight++
			inMix = true
		}
		add(entry.Kind, weight)
	}
	if addedKind != selfKind && !inMix {
		add(addedKind, 1)
	}
	if n := m.noise[service]; n != nil {
		variance += n.variance
	} else {
		variance += initialNoiseVar
	}
	return Prediction{
		Mean: math.Exp(mean), Upper: math.Exp(peak + confidenceDeviations*math.Sqrt(variance)), Windows: windows,
	}
}

// neighbourWeight returns the weight of an entry of the mix, without the service instance itself.
func neighbourWeight(service string, entry MixEntry) float64 {
	if entry.Kind == service {
		return entry.Weight - 1
	}
	return entry.Weight
}

// Contribution returns what one neighbour of the kind adds to the logarithm of the service's latency ratio.
func (m *Slowdown) Contribution(now time.Time, service string, band LoadBand, kind string) float64 {
	return m.lookup(now, pairKey{service, kind, band}).mean
}

// Observe updates the model with the ratio of a service's latency to its target in one window and the task mix of the
// worker during that window. The residual is distributed over the terms in proportion to their variances, as in a
// Kalman filter with a diagonal covariance.
func (m *Slowdown) Observe(now time.Time, service string, band LoadBand, mix Mix, ratio float64) {
	if !m.learns || ratio <= 0 {
		return
	}
	terms := m.terms(now, service, band, mix)
	expected, variance := 0.0, 0.0
	for _, t := range terms {
		expected += t.weight * t.pair.mean
		variance += t.weight * t.weight * t.pair.variance
	}
	noise := m.noiseFor(service)
	residual := math.Log(ratio) - expected
	totalVariance := variance + noise.variance
	shifted := noise.update(residual, totalVariance)
	for _, t := range terms {
		gain := t.weight * t.pair.variance / totalVariance
		t.pair.mean += gain * residual
		if t.kind != selfKind {
			// A neighbour never speeds a service up. A negative mean would hide the slowdown by another neighbour.
			t.pair.mean = max(t.pair.mean, 0)
		}
		t.pair.variance *= 1 - gain*t.weight
		if shifted && t.kind != selfKind {
			t.pair.variance *= shiftVarianceFactor
		}
		t.pair.windows++
		if (t.pair.windows < minPeakWindows && !t.pair.fromOtherBand) || t.pair.mean > t.pair.peak {
			t.pair.peak = t.pair.mean
		}
	}
}

// term is a summand of the model: a pair times the weight of its kind in the mix.
type term struct {
	kind   string
	weight float64
	pair   *pair
}

// terms returns the terms of a window's mix. It ages their pairs to now and stores them.
func (m *Slowdown) terms(now time.Time, service string, band LoadBand, mix Mix) []term {
	terms := make([]term, 0, len(mix)+1)
	add := func(kind string, weight float64) {
		key := pairKey{service, kind, band}
		aged := m.lookup(now, key)
		if m.pairs[key] == nil {
			m.pairs[key] = &pair{}
		}
		*m.pairs[key] = aged
		terms = append(terms, term{kind, weight, m.pairs[key]})
	}
	add(selfKind, 1)
	for _, entry := range mix {
		if weight := neighbourWeight(service, entry); weight > 0 {
			add(entry.Kind, weight)
		}
	}
	return terms
}

// noiseFor returns the noise of a service, which it creates if needed.
func (m *Slowdown) noiseFor(service string) *serviceNoise {
	n := m.noise[service]
	if n == nil {
		n = &serviceNoise{variance: initialNoiseVar, meanSquaredError: 1}
		m.noise[service] = n
	}
	return n
}

// update adds a residual and its expected variance. It reports whether the recent residuals indicate a shift.
func (n *serviceNoise) update(residual, totalVariance float64) bool {
	// gain is the weight of a new residual in the moving averages; the variance adapts more slowly, by a fifth of it.
	const gain = 0.05
	n.meanSquaredError += gain * (residual*residual/totalVariance - n.meanSquaredError)
	n.variance += gain / 5 * (min(residual*residual, 4*n.variance) - n.variance)
	n.variance = max(n.variance, minNoiseVar)
	if n.meanSquaredError < shiftThreshold {
		return false
	}
	n.meanSquaredError = 1
	return true
}
