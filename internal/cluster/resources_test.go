package cluster

import "testing"

// TestFitCount checks that the scarcest resource determines the count, and that the count
// of an empty request is bounded.
func TestFitCount(t *testing.T) {
	available := Resources{CPU: 8, GPU: 2, Memory: 100}
	for _, test := range []struct {
		name    string
		in      Resources
		request Resources
		want    int
	}{
		{"CPUs are scarcest", available, Resources{CPU: 2, Memory: 10}, 4},
		{"GPUs are scarcest", available, Resources{CPU: 2, GPU: 1, Memory: 10}, 2},
		{"too large", available, Resources{CPU: 9}, 0},
		{"nothing requested", available, Resources{}, maxFitCount},
		{"overcommitted", available.Minus(Resources{CPU: 20}), Resources{CPU: 1}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.in.FitCount(test.request); got != test.want {
				t.Errorf("%+v fits %d times into %+v, want %d", test.request, got, test.in, test.want)
			}
		})
	}
}

// TestFitsIn checks that multiples of a request fit until a resource is exceeded.
func TestFitsIn(t *testing.T) {
	available := Resources{CPU: 8, GPU: 2, Memory: 100}
	request := Resources{CPU: 4, GPU: 1, Memory: 50}
	if !request.Times(2).FitsIn(available) {
		t.Errorf("two times %+v does not fit into %+v", request, available)
	}
	if request.Times(3).FitsIn(available) {
		t.Errorf("three times %+v fits into %+v", request, available)
	}
}
