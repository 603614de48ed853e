package main

import (
	"io"

	"github.com/cockroachdb/errors"
	"golang.org/x/perf/benchfmt"
)

// record holds recorded benchmark output: the values of each benchmark and unit.
type record map[string][]float64

// readRecord reads the output of go test -bench. Names keep the number of cores that
// go test appends if it is not 1.
func readRecord(from io.Reader, name string) (r record, err error) {
	defer func() { err = errors.Wrapf(err, "read recorded benchmarks %s", name) }()
	r = record{}
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

// values returns the values of a benchmark in a unit.
func (r record) values(benchmark, unit string) ([]float64, error) {
	v := r[benchmark+" "+unit]
	if len(v) == 0 {
		return nil, errors.Newf("no recorded value of Benchmark%s in %s", benchmark, unit)
	}
	return v, nil
}

// mean returns the mean of a benchmark's values.
func (r record) mean(benchmark, unit string) (float64, error) {
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
