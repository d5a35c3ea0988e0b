package routing

import "testing"

// The first numbers of two seeds must not change: every decision that uses a random number would change with them.
func TestRandomNumbersAreStable(t *testing.T) {
	for seed, want := range map[uint64][3]float64{
		1: {0.7996301718521863, 0.5209461254999042, 0.9231933446135372},
		2: {0.28212826303206384, 0.5810618500690907, 0.3551297865342349},
	} {
		generator := newPCG(seed)
		for i := range want {
			if got := generator.float(); got != want[i] {
				t.Errorf("seed %d, number %d: got %v, want %v", seed, i, got, want[i])
			}
		}
	}
}

func TestRandomNumbersAreEven(t *testing.T) {
	generator, counts := newPCG(7), [10]int{}
	for range 100000 {
		counts[int(generator.float()*10)]++
	}
	for i, count := range counts {
		if count < 9600 || count > 10400 {
			t.Errorf("%d of 100000 numbers are in tenth %d, want about 10000", count, i)
		}
	}
}
