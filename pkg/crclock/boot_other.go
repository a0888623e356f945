//go:build !linux

package crclock

import "time"

// sinceBoot returns the time since the start of the process; suspension is not counted.
func sinceBoot() time.Duration { return time.Since(startTime) }
