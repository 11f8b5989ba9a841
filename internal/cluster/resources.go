package cluster

// Resources holds the resources that a task requests or a machine has. Its JSON form is
// part of the stored record of a job.
type Resources struct {
	CPU    Amount `json:"CPU"`
	GPU    Amount `json:"GPU"`
	Memory Amount `json:"Mem"`
}

// Plus returns the sum of r and other.
func (r Resources) Plus(other Resources) Resources {
	return Resources{CPU: r.CPU + other.CPU, GPU: r.GPU + other.GPU, Memory: r.Memory + other.Memory}
}

// Minus returns r minus other. The amounts of the result may be negative.
func (r Resources) Minus(other Resources) Resources {
	return Resources{CPU: r.CPU - other.CPU, GPU: r.GPU - other.GPU, Memory: r.Memory - other.Memory}
}

// Times returns r multiplied by count.
func (r Resources) Times(count int) Resources {
	factor := Amount(count)
	return Resources{CPU: r.CPU * factor, GPU: r.GPU * factor, Memory: r.Memory * factor}
}

// FitsIn reports whether no amount of r exceeds that of available.
func (r Resources) FitsIn(available Resources) bool {
	return r.CPU <= available.CPU && r.GPU <= available.GPU && r.Memory <= available.Memory
}

// maxFitCount is the maximum result of FitCount, and its result for an empty request.
const maxFitCount = 1 << 20

// FitCount returns how many times a request fits into r, at most 1<<20. The result is 0
// if r has a negative amount of a requested resource.
func (r Resources) FitCount(request Resources) int {
	count := Amount(maxFitCount)
	if request.CPU > 0 {
		count = min(count, r.CPU/request.CPU)
	}
	if request.GPU > 0 {
		count = min(count, r.GPU/request.GPU)
	}
	if request.Memory > 0 {
		count = min(count, r.Memory/request.Memory)
	}
	return int(max(count, 0))
}
