package quarantine

import (
	"maps"
	"time"
)

const (
	// EntryTTL is how long a request stays suspected or refused. It is bounded, since its cause may be repaired.
	EntryTTL = 10 * time.Minute
	// MaxEntries bounds a table. Beyond it the entry that ends first makes room, suspected requests before refused ones.
	MaxEntries = 1024
)

// Entry is one request in a table.
type Entry struct {
	Notice Notice
	// Expiry is the end of the entry.
	Expiry time.Duration
}

// Table holds the requests that are not clear. It is an immutable value; the zero value is empty.
type Table struct {
	// entries has at most MaxEntries entries.
	entries map[uint64]Entry
}

// Len returns the number of entries, which may have ended.
func (t Table) Len() int { return len(t.entries) }

// Find returns the entry of a request; a clear request has the zero entry with state Clear.
func (t Table) Find(fingerprint uint64, now time.Duration) Entry {
	e, ok := t.entries[fingerprint]
	if !ok || now >= e.Expiry {
		return Entry{Notice: Notice{Fingerprint: fingerprint, State: Clear}}
	}
	return e
}

// Entries returns the entries that have not ended.
func (t Table) Entries(now time.Duration) []Entry {
	var all []Entry
	for _, e := range t.entries {
		if now < e.Expiry {
			all = append(all, e)
		}
	}
	return all
}

// AfterCrash is the state of a request after a server crashed while it ran. Only a request that was suspected
// before and then ran alone is known to be the cause; one that ran beside others may be a bystander.
func (t Table) AfterCrash(fingerprint uint64, alone bool, now time.Duration) State {
	if alone && t.Find(fingerprint, now).Notice.State != Clear {
		return Quarantined
	}
	return Suspect
}

// WithNotice returns the table after a notice. A refused request is not cleared by a late notice about an earlier run.
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
		delete(entries, victim(entries))
	}
	entries[notice.Fingerprint] = Entry{Notice: notice, Expiry: now + EntryTTL}
	return Table{entries}
}

// victim returns the entry that makes room for another.
func victim(entries map[uint64]Entry) uint64 {
	var found uint64
	var least Entry
	for fingerprint, e := range entries {
		refused, leastRefused := e.Notice.State == Quarantined, least.Notice.State == Quarantined
		if least.Expiry == 0 || !refused && leastRefused || refused == leastRefused && e.Expiry < least.Expiry {
			found, least = fingerprint, e
		}
	}
	return found
}
