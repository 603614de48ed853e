// Package store speaks to the platform's object store.
package store

import (
	"context"

	"github.com/cockroachdb/errors"
)

// MaxValueBytes is the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// Version numbers the writes of one object. Zero means that the object does not exist.
type Version uint64

// Object is one stored value with its version.
type Object struct {
	Key     string
	Value   []byte
	Version Version
}

// Errors that every adapter returns, marked so that errors.Is finds them through wrapping.
var (
	ErrNotFound       = errors.New("object not found")
	ErrConflict       = errors.New("object version does not match")
	ErrNotModified    = errors.New("object not modified before the watch timed out")
	ErrTooLarge       = errors.New("value exceeds 1 MB")
	ErrUnavailable    = errors.New("store is unavailable")
	ErrRateLimited    = errors.New("store rate limit exceeded")
	ErrUnknownOutcome = errors.New("the write may or may not have taken effect")
)

// Store is the narrow interface through which the system uses the platform's object store.
// All methods return ErrUnavailable or ErrRateLimited when the store does not serve the call.
type Store interface {
	// Get returns the newest object, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value if the object's version is expect (0: it must not exist) and returns the new version.
	// It returns ErrConflict, ErrTooLarge, or ErrUnknownOutcome when the answer was lost after sending.
	Put(ctx context.Context, key string, value []byte, expect Version) (Version, error)
	// Watch waits for a version newer than after and returns the object, or ErrNotModified at the timeout.
	Watch(ctx context.Context, key string, after Version) (Object, error)
	// List returns all objects whose key starts with prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]Object, error)
}
