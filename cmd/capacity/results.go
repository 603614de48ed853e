package main

import (
	"io"

	"github.com/cockroachdb/errors"
	"golang.org/x/perf/benchfmt"
)

// benchmarkResults holds recorded benchmark output. It maps "NAME UNIT" to the values of all runs.
type benchmarkResults map[string][]float64

// readResults reads the output of go test -bench. Names include the suffix with GOMAXPROCS, which go test appends if it is
// not 1.
func readResults(from io.Reader, name string) (r benchmarkResults, err error) {
	defer func() { err = errors.Wrapf(err, "read recorded benchmarks %s", name) }()
	r = benchmarkResults{}
	reader := benchfmt.NewReader(from, name)
	for reader.Scan() {
		switch result := reader.Result().(type) {
		case *benchfmt.Result:
			full := string(result.Name.Full())
			for _, v := range result.Values {
				key := full + " " + v.Unit
				r[key] = append(r[key], v.Value)
			}
		case *benchfmt.SyntaxError:
			return nil, result
		}
	}
	return r, reader.Err()
}

// values returns the values of a benchmark in a unit, one for each run.
func (r benchmarkResults) values(benchmark, unit string) ([]float64, error) {
	v := r[benchmark+" "+unit]
	if len(v) == 0 {
		return nil, errors.Newf("no recorded value of Benchmark%s in unit %s", benchmark, unit)
	}
	return v, nil
}

// mean returns the mean of a benchmark's values.
func (r benchmarkResults) mean(benchmark, unit string) (float64, error) {
	v, err := r.values(benchmark, unit)
	if err != nil {
		return 0, err
	}
	total := 0.0
	for _, x := range v {
		total += x
	}
	return total / float64(len(v)), nil
}
