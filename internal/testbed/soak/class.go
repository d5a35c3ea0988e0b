package soak

import "time"

// Idempotency describes the effect of repeating a request.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota
	IdempotentWithKey             // the servers of a cell drop repeats for a while
	NonIdempotent
)

// settingsName returns the name of the idempotency in the deployment's settings.
func (i Idempotency) settingsName() string {
	switch i {
	case IdempotentWithKey:
		return "dedup"
	case NonIdempotent:
		return "fragile"
	default:
		return "retryable"
	}
}

// Class is a class of requests.
type Class struct {
	Name              string
	Idempotency       Idempotency
	IsWrite           bool          // executed only at the origin
	MaxAge            time.Duration // of a copy; 0: valid until purged
	IdempotencyWindow time.Duration // during which repeats of a keyed request are dropped
	Timeout           time.Duration
}

// hasEffect reports whether servers execute requests of the class, rather than return a copy.
func (c *Class) hasEffect() bool { return c.Idempotency != Idempotent || c.IsWrite }

// isRepeatable reports whether a repeat is harmless, at least within the idempotency window.
func (c *Class) isRepeatable() bool { return c.Idempotency != NonIdempotent }

// classes are the request classes of the deployment.
var classes = []*Class{
	{Name: "clip", Timeout: 2500 * time.Millisecond},
	{Name: "page", MaxAge: 2 * time.Second, Timeout: 1500 * time.Millisecond},
	{Name: "photo", Idempotency: NonIdempotent, Timeout: 1800 * time.Millisecond},
	{
		Name: "book", Idempotency: IdempotentWithKey, IdempotencyWindow: 1200 * time.Millisecond,
		Timeout: 2 * time.Second,
	},
	{Name: "signoff", Idempotency: NonIdempotent, IsWrite: true, Timeout: 2 * time.Second},
}

func classByName(name string) *Class {
	for _, class := range classes {
		if class.Name == name {
			return class
		}
	}
	return nil
}

// classForDraw returns the class for a number drawn uniformly from [0, 1).
func classForDraw(draw float64) *Class {
	switch {
	case draw < 0.2:
		return classes[1]
	case draw < 0.32:
		return classes[2]
	case draw < 0.44:
		return classes[3]
	case draw < 0.52:
		return classes[4]
	default:
		return classes[0]
	}
}

// transferKBPerSecond is the rate of one transfer. Bodies on sockets are scaled down: one byte stands for fifteen.
const transferKBPerSecond, bytesPerKB = 800.0, 1024.0 / 15

// sizeKB returns an object's size, between 15 and 135 KB.
func sizeKB(object uint64) float64 { return 15 + float64(object%7)*20 }
