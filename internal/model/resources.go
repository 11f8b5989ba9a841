package model

// Res is what a task takes or a machine has. Its field names are part of the
// stored form of a job.
type Res struct {
	CPU Amount `json:"CPU"`
	GPU Amount `json:"GPU"`
	Mem Amount `json:"Mem"`
}

// Plus adds up both.
func (r Res) Plus(o Res) Res { return Res{r.CPU + o.CPU, r.GPU + o.GPU, r.Mem + o.Mem} }

// Minus is what is left of r without o, which may be below zero.
func (r Res) Minus(o Res) Res { return Res{r.CPU - o.CPU, r.GPU - o.GPU, r.Mem - o.Mem} }

// Times is n times as much.
func (r Res) Times(n int) Res {
	k := Amount(n)
	return Res{r.CPU * k, r.GPU * k, r.Mem * k}
}

// Fits tells whether r finds room in another.
func (r Res) Fits(in Res) bool {
	return r.CPU <= in.CPU && r.GPU <= in.GPU && r.Mem <= in.Mem
}

// mostHeld is what Holds counts at most, as of a need of nothing.
const mostHeld = 1 << 20

// Holds counts how many times a need finds room in r.
func (r Res) Holds(need Res) int {
	n := Amount(mostHeld)
	if need.CPU > 0 {
		n = min(n, r.CPU/need.CPU)
	}
	if need.GPU > 0 {
		n = min(n, r.GPU/need.GPU)
	}
	if need.Mem > 0 {
		n = min(n, r.Mem/need.Mem)
	}
	return int(max(n, 0))
}
