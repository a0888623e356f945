package cradmin

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// NewLogger returns a logfmt logger that writes UTC timestamps; logLevel is "info" or "debug".
func NewLogger(w io.Writer, logLevel string) log.Logger {
	l := log.NewLogfmtLogger(log.NewSyncWriter(w))
	allow := level.AllowInfo()
	if logLevel == "debug" {
		allow = level.AllowDebug()
	}
	return log.With(level.NewFilter(l, allow), "ts", log.DefaultTimestampUTC)
}
