// Package listing orders the entries that backend servers write about themselves into the platform list. The store may execute a
// write seconds after it was sent, so that the entry that was written last need not be the newest one.
package listing

// Version identifies the report of a backend server that an entry was written from.
type Version struct {
	// Started is the Unix time of the start of the server's process in milliseconds, or 0 if unknown.
	Started int64
	// Report is the number of the report, counted from 1 after each start, or 0 if unknown.
	Report uint64
}

// Precedes reports whether v is of an earlier process than other, or of an earlier report of the same process. It is false if the
// order is unknown: with an unknown start, a lower number may be that of a restarted process.
func (v Version) Precedes(other Version) bool {
	switch {
	case v.Started == 0 || other.Started == 0:
		return false
	case v.Started != other.Started:
		return v.Started < other.Started
	}
	return v.Report > 0 && v.Report < other.Report
}
