package cluster

// Resources is what a task takes or a machine has. Its field names are part of the
// stored form of a job.
type Resources struct {
	CPU    Amount `json:"CPU"`
	GPU    Amount `json:"GPU"`
	Memory Amount `json:"Mem"`
}

// Plus adds up both.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.GPU + o.GPU, r.Memory + o.Memory}
}

// Minus is what is left of r without o, which may be below zero.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.GPU - o.GPU, r.Memory - o.Memory}
}

// Times is n times as much.
func (r Resources) Times(n int) Resources {
	k := Amount(n)
	return Resources{r.CPU * k, r.GPU * k, r.Memory * k}
}

// FitsIn tells whether r finds room in another.
func (r Resources) FitsIn(in Resources) bool {
	return r.CPU <= in.CPU && r.GPU <= in.GPU && r.Memory <= in.Memory
}

// maxFitCount is what Holds counts at most, as of a need of nothing.
const maxFitCount = 1 << 20

// FitCount counts how many times a need finds room in r.
func (r Resources) FitCount(need Resources) int {
	n := Amount(maxFitCount)
	if need.CPU > 0 {
		n = min(n, r.CPU/need.CPU)
	}
	if need.GPU > 0 {
		n = min(n, r.GPU/need.GPU)
	}
	if need.Memory > 0 {
		n = min(n, r.Memory/need.Memory)
	}
	return int(max(n, 0))
}
