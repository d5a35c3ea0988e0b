package frontend

import (
	"testing"

	"go.uber.org/goleak"
)

// No test may leave a goroutine behind.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
