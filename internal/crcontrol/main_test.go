package crcontrol_test

import (
	"net/http"
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails when a control instance or a node leaves a goroutine behind.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.Cleanup(func(code int) { http.DefaultClient.CloseIdleConnections() }))
}
