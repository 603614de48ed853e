package quarantine

import (
	"maps"
	"time"
)

const (
	// EntryTTL is how long a request stays suspected or quarantined. It is limited because the server may be fixed.
	EntryTTL = 10 * time.Minute
	// MaxEntries bounds a table. At this bound the entry that expires first is evicted, suspected requests before
	// quarantined ones.
	MaxEntries = 1024
)

// Entry is a request in a table.
type Entry struct {
	Notice Notice
	// Expiry is the time from which the entry no longer applies.
	Expiry time.Duration
}

// Table holds the requests that are not clear. It is immutable; the zero value is empty.
type Table struct {
	// entries is keyed by fingerprint and has at most MaxEntries entries.
	entries map[uint64]Entry
}

// Len returns the number of entries, including expired ones that are not yet removed.
func (t Table) Len() int { return len(t.entries) }

// Find returns the entry of a request. For a clear request it has only the fingerprint and the state Clear.
func (t Table) Find(fingerprint uint64, now time.Duration) Entry {
	e, ok := t.entries[fingerprint]
	if !ok || now >= e.Expiry {
		return Entry{Notice: Notice{Fingerprint: fingerprint, State: Clear}}
	}
	return e
}

// Entries returns the unexpired entries.
func (t Table) Entries(now time.Duration) []Entry {
	var all []Entry
	for _, e := range t.entries {
		if now < e.Expiry {
			all = append(all, e)
		}
	}
	return all
}

// AfterCrash returns the state of a request after a server crashed while running it. Only a request that was suspected
// before and ran alone this time is known to be the cause; otherwise another request may be.
func (t Table) AfterCrash(fingerprint uint64, alone bool, now time.Duration) State {
	if alone && t.Find(fingerprint, now).Notice.State != Clear {
		return Quarantined
	}
	return Suspect
}

// WithNotice returns the table after a notice. A quarantined request is not cleared, because the notice may be a late one
// about an earlier run.
func (t Table) WithNotice(notice Notice, now time.Duration) Table {
	state := t.Find(notice.Fingerprint, now).Notice.State
	if state == Quarantined || notice.State == Clear && state == Clear {
		return t
	}
	entries := maps.Clone(t.entries)
	if entries == nil {
		entries = map[uint64]Entry{}
	}
	maps.DeleteFunc(entries, func(_ uint64, e Entry) bool { return now >= e.Expiry })
	if notice.State == Clear {
		delete(entries, notice.Fingerprint)
		return Table{entries}
	}
	if _, present := entries[notice.Fingerprint]; !present && len(entries) >= MaxEntries {
		delete(entries, evictionCandidate(entries))
	}
	entries[notice.Fingerprint] = Entry{Notice: notice, Expiry: now + EntryTTL}
	return Table{entries}
}

// evictionCandidate returns the fingerprint of the entry to evict for a new one.
func evictionCandidate(entries map[uint64]Entry) uint64 {
	var candidate uint64
	var first Entry
	for fingerprint, e := range entries {
		quarantined, firstQuarantined := e.Notice.State == Quarantined, first.Notice.State == Quarantined
		if first.Expiry == 0 || !quarantined && firstQuarantined || quarantined == firstQuarantined && e.Expiry < first.Expiry {
			candidate, first = fingerprint, e
		}
	}
	return candidate
}
