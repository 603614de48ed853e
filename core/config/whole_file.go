package config

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

// Report is the result of the check of a whole configuration in a file.
type Report struct {
	Configuration Configuration
	// Errors holds the values that are not accepted; hosts refuse the configuration unless it is empty.
	Errors ValidationErrors
	// Warnings holds the result of Configuration.Warnings.
	Warnings ValidationErrors
}

// CheckFile decodes and checks a whole configuration. The file is JSON as Encode writes it, or TOML with the tables of a change
// file. An error says that the file cannot be decoded. Only TOML gives the line of each finding.
func CheckFile(file string, data []byte) (report Report, err error) {
	isJSON := bytes.HasPrefix(bytes.TrimSpace(data), []byte("{"))
	if isJSON {
		if report.Configuration, err = decode(data); err != nil {
			return report, errors.Wrap(err, file)
		}
	} else {
		parsed, documents, err := decodeChangeFile(file, data)
		if err != nil {
			return report, err
		}
		if len(parsed.Delete) > 0 {
			return report, errors.Newf("%s:%d: delete; accepted: only in change files", file, keyLines(data)["delete"])
		}
		report.Configuration = *documents
	}
	if err := report.Configuration.Check(); err != nil && !errors.As(err, &report.Errors) {
		return report, errors.Wrap(err, file)
	}
	report.Configuration = report.Configuration.WithIndex()
	report.Warnings = report.Configuration.Warnings()
	if !isJSON {
		setLines(data, report.Errors)
		setLines(data, report.Warnings)
	}
	return report, nil
}
