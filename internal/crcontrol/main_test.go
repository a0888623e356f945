package crcontrol_test

import (
	"net/http"
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if a control instance or a node leaks a goroutine.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.Cleanup(func(code int) { http.DefaultClient.CloseIdleConnections() }))
}
