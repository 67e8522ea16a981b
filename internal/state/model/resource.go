package model

// Resources is an amount of processors, memory and accelerators.
type Resources struct {
	// CPUMillis is in thousandths of a processor core.
	CPUMillis   int64
	MemoryBytes int64
	// Accelerators is the number of whole accelerators.
	Accelerators int64
}

// Add returns the sum of r and other.
func (r Resources) Add(other Resources) Resources {
	return Resources{
		CPUMillis:    r.CPUMillis + other.CPUMillis,
		MemoryBytes:  r.MemoryBytes + other.MemoryBytes,
		Accelerators: r.Accelerators + other.Accelerators,
	}
}

// Sub returns r minus other; fields may become negative.
func (r Resources) Sub(other Resources) Resources {
	return Resources{
		CPUMillis:    r.CPUMillis - other.CPUMillis,
		MemoryBytes:  r.MemoryBytes - other.MemoryBytes,
		Accelerators: r.Accelerators - other.Accelerators,
	}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int64) Resources {
	return Resources{CPUMillis: r.CPUMillis * n, MemoryBytes: r.MemoryBytes * n, Accelerators: r.Accelerators * n}
}

// FitsIn reports whether no field of r exceeds that of free.
func (r Resources) FitsIn(free Resources) bool {
	return r.CPUMillis <= free.CPUMillis && r.MemoryBytes <= free.MemoryBytes && r.Accelerators <= free.Accelerators
}

// CountIn returns how many times r fits in free, but at most limit.
func (r Resources) CountIn(free Resources, limit int64) int64 {
	for _, f := range [][2]int64{
		{r.CPUMillis, free.CPUMillis}, {r.MemoryBytes, free.MemoryBytes}, {r.Accelerators, free.Accelerators},
	} {
		switch part, whole := f[0], f[1]; {
		case part > whole:
			return 0
		case part > 0:
			limit = min(limit, whole/part)
		}
	}
	return limit
}

// IsZero reports whether all fields are zero.
func (r Resources) IsZero() bool {
	return r == Resources{}
}

// IsNegative reports whether any field is below zero.
func (r Resources) IsNegative() bool {
	return r.CPUMillis < 0 || r.MemoryBytes < 0 || r.Accelerators < 0
}

// DominantShare returns the dominant share of r: the largest fraction of total that r takes in any one resource.
// Resources of which total has none are ignored.
func (r Resources) DominantShare(total Resources) float64 {
	share := fraction(r.CPUMillis, total.CPUMillis)
	share = max(share, fraction(r.MemoryBytes, total.MemoryBytes))
	return max(share, fraction(r.Accelerators, total.Accelerators))
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
