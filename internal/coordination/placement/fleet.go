package placement

import (
	"math/rand/v2"
	"time"

	"github.com/jujubearch/jujubearch/internal/coordination/capacity"
	"github.com/jujubearch/jujubearch/internal/state/model"
)

const (
	// maxCandidates is the number of suitable workers after which a search stops and takes the best of them.
	maxCandidates = 12
	// maxVisits bounds the workers that a search for an ordinary batch task scores. The next search starts at another
	// random worker.
	maxVisits = 48
	// sameRackPenalty is added to the score for each instance of the same service in the rack. It outweighs all other
	// terms, so that a rack failure stops as few instances as possible.
	sameRackPenalty = 10
	// nearTargetPenalty is added to the score of a worker on which a service is predicted to exceed LatencyLimit. It is
	// smaller than sameRackPenalty, and an instance still starts there if no other worker has the capacity.
	nearTargetPenalty = 5
)

// Fleet is the set of workers to choose from, with the reservations made so far. It is not safe for concurrent use.
type Fleet struct {
	weights   model.Weights
	slowdown  *Slowdown
	workers   []Worker
	positions map[model.WorkerID]int
	// allIndex holds the free capacity of every worker. In batchIndex, a worker whose services are predicted above
	// LatencyLimit has no capacity, and UrgentReserve is subtracted.
	allIndex, batchIndex *capacity.Index
	instancesByRack      map[serviceRack]int
	// unplaceable holds the requests that found no worker since capacity was last released.
	unplaceable map[Request]bool
}

// serviceRack identifies a service in one rack.
type serviceRack struct {
	service model.ServiceName
	dc      model.DataCentre
	rack    string
}

// NewFleet returns a fleet of the workers. It keeps the slice and updates the workers in it. If all weights are zero,
// they count equally.
func NewFleet(now time.Time, weights model.Weights, slowdown *Slowdown, workers []Worker) *Fleet {
	if weights == (model.Weights{}) {
		weights = model.Weights{Latency: 1, Throughput: 1, Evictions: 1}
	}
	f := &Fleet{
		weights: weights, slowdown: slowdown, workers: workers, positions: make(map[model.WorkerID]int, len(workers)),
		allIndex: capacity.NewIndex(len(workers)), batchIndex: capacity.NewIndex(len(workers)),
		instancesByRack: make(map[serviceRack]int), unplaceable: make(map[Request]bool),
	}
	for i := range workers {
		f.positions[workers[i].ID] = i
		for _, s := range workers[i].Services {
			f.countInstance(&workers[i], s.Service)
		}
		f.updateIndexes(now, i)
	}
	return f
}

func (f *Fleet) countInstance(w *Worker, service model.ServiceName) {
	f.instancesByRack[serviceRack{service: service, dc: w.DataCentre, rack: w.Rack}]++
}

// updateIndexes stores the current free capacity of worker i in both indexes.
func (f *Fleet) updateIndexes(now time.Time, i int) {
	w := &f.workers[i]
	f.allIndex.Set(i, w.Free)
	free := w.Free.Sub(w.UrgentReserve)
	if len(w.Services) > 0 && f.worstPrediction(now, w, selfKind).Upper > LatencyLimit {
		free = capacity.None
	}
	f.batchIndex.Set(i, free)
}

// worstPrediction returns the prediction with the largest upper bound among the services on a worker, assuming one more
// task of addedKind; selfKind adds none.
func (f *Fleet) worstPrediction(now time.Time, w *Worker, addedKind string) Prediction {
	var worst Prediction
	for _, s := range w.Services {
		if s.WithoutLatencyTarget {
			continue
		}
		p := f.slowdown.predictWith(now, s.Kind, s.Band, w.Mix, addedKind)
		if p.Upper > worst.Upper {
			worst = p
		}
	}
	return worst
}

// Choice is a chosen worker with the worst prediction for the services on it. A lower score is better.
type Choice struct {
	Worker    model.WorkerID
	Predicted Prediction
	Score     float64
}

// Choose returns the best worker for a request among a sample of the workers with enough free capacity, or false if the
// search found none. The search starts at a random worker.
func (f *Fleet) Choose(now time.Time, r Request, random *rand.Rand) (Choice, bool) {
	if len(f.workers) == 0 || f.unplaceable[r] {
		return Choice{}, false
	}
	index := f.batchIndex
	if r.Urgent || r.Class == model.ClassService {
		index = f.allIndex
	}
	start := random.IntN(len(f.workers))
	search := &search{fleet: f, index: index, request: r, now: now}
	if r.Class == model.ClassService {
		// Instances are few and long-lived, which justifies looking at every worker.
		search.unbounded = true
	}
	if !search.scan(start, len(f.workers)) {
		search.scan(0, start)
	}
	if search.suitable == 0 {
		f.unplaceable[r] = true
	}
	return search.best, search.suitable > 0
}

// search is the state of one search for a worker.
type search struct {
	fleet     *Fleet
	index     *capacity.Index
	request   Request
	now       time.Time
	unbounded bool
	// visits counts the workers scored, suitable those of them that may take the task.
	visits   int
	suitable int
	best     Choice
}

// scan scores the workers in [from, to) that have enough free capacity and reports whether the search is done.
func (s *search) scan(from, to int) bool {
	for leaf := s.index.Next(from, s.request.Need); leaf >= 0 && leaf < to; leaf = s.index.Next(leaf+1, s.request.Need) {
		s.visits++
		if c, ok := s.fleet.score(s.now, leaf, s.request); ok {
			if s.suitable == 0 || c.Score < s.best.Score {
				s.best = c
			}
			s.suitable++
		}
		if !s.unbounded && (s.suitable >= maxCandidates || (s.visits >= maxVisits && !s.request.Urgent)) {
			return true
		}
	}
	return false
}

// score rates a worker that has enough free capacity for the request; lower is better. It returns false if the request
// must not be placed there because of the latency of a service.
func (f *Fleet) score(now time.Time, i int, r Request) (Choice, bool) {
	w := &f.workers[i]
	c := Choice{Worker: w.ID}
	if len(w.Services) > 0 {
		c.Predicted = f.worstPrediction(now, w, r.Kind)
	}
	besideService := r.Class == model.ClassBatch && len(w.Services) > 0
	if besideService && c.Predicted.Upper > LatencyLimit && !r.Urgent {
		return c, false
	}
	remaining := w.Free.Sub(r.Need)
	// The throughput term packs workers tightly, which leaves more free capacity on others for larger tasks. The
	// evictions term avoids workers with a prediction near the limit, where the guard is likely to evict the task.
	c.Score = f.weights.Throughput * remaining.DominantShare(w.Capacity)
	if r.Class == model.ClassService {
		c.Score += f.scoreInstance(now, w, r)
		return c, true
	}
	c.Score += f.weights.Latency * c.Predicted.Upper / LatencyLimit
	c.Score += f.weights.Evictions * max(0, c.Predicted.Upper-LatencyLimit+evictionRiskBand) / evictionRiskBand
	return c, true
}

// evictionRiskBand is the distance below LatencyLimit within which the guard is likely to throttle or evict a placed
// task.
const evictionRiskBand = 0.15

// scoreInstance scores a worker for a service instance. Instances that share a worker leave other workers free for
// batch work that no service tolerates as a neighbour. They should share only while the predicted latency is within
// LatencyLimit.
func (f *Fleet) scoreInstance(now time.Time, w *Worker, r Request) float64 {
	// Predict expects the mix to include the instance itself.
	mix := append(Mix(nil), w.Mix...).Add(r.Kind, 1)
	upper := max(f.slowdown.Predict(now, r.Kind, BandMiddle, mix).Upper, f.worstPrediction(now, w, r.Kind).Upper)
	score := f.weights.Latency * upper / LatencyLimit
	if upper > LatencyLimit {
		score += nearTargetPenalty
	}
	return score +
		sameRackPenalty*float64(f.instancesByRack[serviceRack{service: r.Service, dc: w.DataCentre, rack: w.Rack}])
}

// Reserve reserves the request's resources on a worker.
func (f *Fleet) Reserve(now time.Time, id model.WorkerID, r Request) {
	i, known := f.positions[id]
	if !known {
		return
	}
	w := &f.workers[i]
	w.Free = w.Free.Sub(r.Need)
	w.Mix = w.Mix.Add(r.Kind, 1)
	if r.Class == model.ClassService {
		w.Services = append(w.Services, ServiceInstance{Kind: r.Kind, Service: r.Service, Band: BandMiddle})
		f.countInstance(w, r.Service)
	}
	f.updateIndexes(now, i)
}

// Release returns the request's resources on a worker.
func (f *Fleet) Release(now time.Time, id model.WorkerID, r Request) {
	i, known := f.positions[id]
	if !known {
		return
	}
	w := &f.workers[i]
	w.Free = w.Free.Add(r.Need)
	clear(f.unplaceable)
	w.Mix = w.Mix.Add(r.Kind, -1)
	f.updateIndexes(now, i)
}
