package crconfig

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/citronramp/citronramp/pkg/crcode"
)

// Limits of the configuration. They leave several times the room for the design size of 670 services and 20,000 servers.
const (
	// MaxServices bounds the number of services.
	MaxServices = 4096
	// MaxKinds bounds the number of kinds of one service.
	MaxKinds = 64
	// MaxDrainedServers bounds the number of drained backend servers.
	MaxDrainedServers = 65536
	// MaxConvictions bounds the number of convictions, the blocks of request fingerprints that crashed backend servers.
	MaxConvictions = 4096
	// MaxGroups is the fixed number of keeper groups, the sets of nodes that store the request records of a part of the
	// request ids.
	MaxGroups = 1024
	// MaxGroupMembers bounds the members of one keeper group.
	MaxGroupMembers = 3
	// MaxNameLen is the largest length of a name.
	MaxNameLen = 63
	// MaxWorth bounds the worth of a request kind, the value of one complete answer.
	MaxWorth = 1_000_000
	// MaxRetries bounds the retries of a kind.
	MaxRetries = 32
	// MaxDeadline bounds the default deadline of a kind. It equals the largest deadline that a caller may send.
	MaxDeadline = 10 * time.Minute
	// maxFieldLen is the largest length of the address, incarnation and domain of a keeper group member.
	maxFieldLen = 255
	// maxTombstones bounds the tombstones kept for deltas. A node whose version is older than the last dropped one gets a
	// full view.
	maxTombstones = 10000
	// tombstoneBatch is the number of tombstones dropped at once.
	tombstoneBatch = 1000
)

// Defaults of a new kind. A kind is not repeatable unless the operator says so, since that is the safe choice.
const (
	DefaultWorth    = 1
	DefaultDeadline = 2 * time.Second
	DefaultRetries  = 3
)

// CheckName returns an error unless s is a valid name: 1 to 63 characters of a-z, 0-9 and hyphen, without a hyphen at
// either end.
func CheckName(s string) error {
	if s == "" {
		return crcode.New(crcode.BadValue, "the name is empty; write 1 to %d of a-z, 0-9 and hyphen", MaxNameLen)
	}
	if len(s) > MaxNameLen {
		return crcode.New(crcode.BadValue, "the name has %d characters; write at most %d", len(s), MaxNameLen)
	}
	for i := 0; i < len(s); i++ {
		if c := s[i]; (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return crcode.New(crcode.BadValue, "the name %q may have only a-z, 0-9 and hyphen", s)
		}
	}
	if s[0] == '-' || s[len(s)-1] == '-' {
		return crcode.New(crcode.BadValue, "the name %q may not start or end with a hyphen", s)
	}
	return nil
}

// CheckFingerprint returns an error unless s consists of 8 to 64 lower-case hexadecimal digits.
func CheckFingerprint(s string) error {
	ok := len(s) >= 8 && len(s) <= 64
	for i := 0; ok && i < len(s); i++ {
		ok = s[i] >= '0' && s[i] <= '9' || s[i] >= 'a' && s[i] <= 'f'
	}
	if !ok {
		return crcode.New(crcode.BadValue, "the fingerprint must be 8 to 64 of 0-9 and a-f; copy it from show convictions")
	}
	return nil
}

// CommandID returns a command id built from its creation time and random bits.
func CommandID(created time.Time, random uint64) string {
	return fmt.Sprintf("%d-%016x", created.UnixMilli(), random)
}

// ParseCommandID parses a command id, CREATED_MS-RANDOM, and returns its creation time in Unix milliseconds.
func ParseCommandID(id string) (int64, error) {
	created, random, ok := strings.Cut(id, "-")
	ok = ok && len(created) >= 1 && len(created) <= 15 && len(random) >= 1 && len(random) <= 32
	ok = ok && strings.Trim(created, "0123456789") == "" && strings.Trim(random, "0123456789abcdefghijklmnopqrstuvwxyz") == ""
	if !ok {
		return 0, crcode.New(crcode.BadValue, "the command id must be CREATED_MS-RANDOM, for example 1764817200000-7f3a")
	}
	ms, err := strconv.ParseInt(created, 10, 64)
	if err != nil {
		return 0, crcode.New(crcode.BadValue, "the creation time in the command id is not a number")
	}
	return ms, nil
}

// ParseVersion parses a version written as EPOCH.INDEX.
func ParseVersion(s string) (Version, error) {
	bad := crcode.New(crcode.BadValue, "a version is written as EPOCH.INDEX, for example 3.1042")
	epoch, index, ok := strings.Cut(s, ".")
	if !ok {
		return Version{}, bad
	}
	var v Version
	var err error
	if v.Epoch, err = parseUint(epoch); err != nil {
		return Version{}, bad
	}
	if v.Index, err = parseUint(index); err != nil {
		return Version{}, bad
	}
	return v, nil
}

// parseUint parses a decimal number without a sign and without leading zeros.
func parseUint(s string) (uint64, error) {
	if len(s) > 1 && s[0] == '0' || strings.Trim(s, "0123456789") != "" {
		return 0, strconv.ErrSyntax
	}
	return strconv.ParseUint(s, 10, 64)
}
