// Package store is the client of the platform's object store. It also has an in-memory store for tests and local runs, and an
// HTTP server for it.
package store

import (
	"context"

	"github.com/cockroachdb/errors"
)

// MaxValueBytes is the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// Version is the version of an object, which rises with each write. Zero means that the object does not exist.
type Version uint64

// Object is a stored value with its key and version.
type Object struct {
	Key     string
	Value   []byte
	Version Version
}

// The errors of all implementations of Store. They are to be checked with errors.Is, since they may be wrapped.
var (
	ErrNotFound       = errors.New("object not found")
	ErrConflict       = errors.New("object version does not match")
	ErrNotModified    = errors.New("object not modified before the watch timed out")
	ErrTooLarge       = errors.New("value exceeds 1 MB")
	ErrUnavailable    = errors.New("store is unavailable")
	ErrRateLimited    = errors.New("store rate limit exceeded")
	ErrUnknownOutcome = errors.New("the write may or may not have taken effect")
)

// Store is an object store with conditional writes (compare and swap on an object's version). All methods return
// ErrUnavailable or ErrRateLimited if the store doesn't serve the call.
type Store interface {
	// Get returns the newest version of an object, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value and returns the new version, if the object's version is expect; 0 means that it must not exist. Otherwise
	// it returns ErrConflict. It returns ErrTooLarge for a value that is too large, and ErrUnknownOutcome if the request was
	// sent but the response was lost.
	Put(ctx context.Context, key string, value []byte, expect Version) (Version, error)
	// Watch waits until the object's version is newer than after, and returns the object. It returns ErrNotModified if the
	// wait times out.
	Watch(ctx context.Context, key string, after Version) (Object, error)
	// List returns all objects whose key starts with prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Object, error)
}
