package crrecord

import (
	"hash/fnv"
	"strconv"
	"strings"

	"github.com/citronramp/citronramp/pkg/crcode"
)

// Limits of the parts of an id.
const (
	maxHomeBytes = 128
	maxKeyBytes  = 512
	randomDigits = 16
)

// ID is a request id of the form HOME.CREATED_MS.RANDOM, with a /KEY part for each level of nested calls.
type ID struct {
	home    string
	created int64
	random  uint64
	key     string
}

// NewID returns the id of a root request.
func NewID(home string, createdMS int64, random uint64) ID {
	return ID{home: home, created: createdMS, random: random}
}

// ParseID parses an id. Only the canonical form is accepted; the error has the code BadID.
func ParseID(s string) (ID, error) {
	root, key, derived := strings.Cut(s, "/")
	bad := func(why string) (ID, error) { return ID{}, crcode.New(crcode.BadID, "%s", why) }
	if derived && !validKey(key) {
		return bad("the key is empty, too long or has a character outside printable ASCII")
	}
	randomAt := strings.LastIndexByte(root, '.')
	if randomAt < 0 {
		return bad("want HOME.CREATED.RANDOM")
	}
	createdAt := strings.LastIndexByte(root[:randomAt], '.')
	if createdAt < 0 {
		return bad("want HOME.CREATED.RANDOM")
	}
	home, created, digits := root[:createdAt], root[createdAt+1:randomAt], root[randomAt+1:]
	if !validHome(home) {
		return bad("the home is empty, too long or has a character outside a-z A-Z 0-9 - _ .")
	}
	ms, err := strconv.ParseInt(created, 10, 64)
	if err != nil || ms < 0 || strconv.FormatInt(ms, 10) != created {
		return bad("the creation time is not a number of milliseconds")
	}
	random, err := strconv.ParseUint(digits, 16, 64)
	if err != nil || len(digits) != randomDigits || strings.ToLower(digits) != digits {
		return bad("the last part is not 16 lower-case hex digits")
	}
	return ID{home: home, created: ms, random: random, key: key}, nil
}

func validHome(s string) bool {
	if s == "" || len(s) > maxHomeBytes {
		return false
	}
	for _, c := range []byte(s) {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '-', c == '_', c == '.':
		default:
			return false
		}
	}
	return true
}

func validKey(s string) bool {
	if s == "" || len(s) > maxKeyBytes {
		return false
	}
	for _, c := range []byte(s) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// Home returns the node and incarnation that created the id.
func (id ID) Home() string { return id.home }

// CreatedMS returns the creation time in Unix milliseconds.
func (id ID) CreatedMS() int64 { return id.created }

// Root returns the id of the root request, without the keys of nested calls.
func (id ID) Root() ID {
	id.key = ""
	return id
}

// Derive returns the id of the nested call with the given key; the error has the code BadID. A key must not contain a
// slash, so that two calls at different depths never share an id.
func (id ID) Derive(key string) (ID, error) {
	if !validKey(key) || strings.Contains(key, "/") {
		return ID{}, crcode.New(crcode.BadID, "the key is empty, too long, or has a slash or a character outside printable ASCII")
	}
	if id.key != "" {
		key = id.key + "/" + key
	}
	if !validKey(key) {
		return ID{}, crcode.New(crcode.BadID, "the keys of the call chain are too long together")
	}
	id.key = key
	return id, nil
}

// Group returns the number of the id's keeper group, from 0 to Groups - 1. Derived ids are in the group of their root.
func (id ID) Group() uint32 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id.Root().String()))
	sum := h.Sum64()
	// The low bits of FNV are poorly mixed for short suffixes, so the upper half is folded in.
	return uint32((sum ^ sum>>32) % Groups)
}

// String returns the canonical form.
func (id ID) String() string {
	buf := make([]byte, 0, len(id.home)+len(id.key)+randomDigits+24)
	buf = append(buf, id.home...)
	buf = append(buf, '.')
	buf = strconv.AppendInt(buf, id.created, 10)
	buf = append(buf, '.')
	hex := strconv.FormatUint(id.random, 16)
	for range randomDigits - len(hex) {
		buf = append(buf, '0')
	}
	buf = append(buf, hex...)
	if id.key != "" {
		buf = append(buf, '/')
		buf = append(buf, id.key...)
	}
	return string(buf)
}
