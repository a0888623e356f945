//go:build !linux

package crclock

import "time"

// boot returns the time since the start of the process; suspension is not counted.
func boot() time.Duration { return time.Since(origin) }
