package crnode_test

import (
	"net/http"
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails when a node, a control instance or a backend server leaks a goroutine.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.Cleanup(func(code int) { http.DefaultClient.CloseIdleConnections() }))
}
