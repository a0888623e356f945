package crcoord

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
)

const (
	// noticesFile is the name of the file that stores the directory's notices, so that quarantined requests stay
	// blocked when nodes and coordinators restart together.
	noticesFile = "notices"
	// noticeInterval is the time between two writes of the file, unless a notice must be durable at once. A notice of
	// a crashing request may take three seconds to reach all processes.
	noticeInterval = time.Second
	// storeNoticeTimeout bounds the storage of a notice at enough coordinators. A node that waits for it must answer
	// its server within a second.
	storeNoticeTimeout = 700 * time.Millisecond
)

// RPC methods for notices that must survive the loss of processes and disks. Nodes call MethodStoreNotice.
const (
	MethodStoreNotice     = "notice.store"
	methodReplicateNotice = "notice.replicate"
)

// noticesFile returns the file of the notices. Its first write covers what was loaded, since the rename that made it
// visible may not be durable yet.
func (c *Coordinator) noticesFile() *softStateFile {
	written, last := false, uint64(0)
	encode := func() ([]byte, error) {
		accepted := c.directory.NoticesAccepted()
		if !c.directory.Loaded() || written && accepted == last {
			return nil, nil
		}
		written, last = true, accepted
		return encodeNotices(time.Now(), c.directory.Notices())
	}
	return &softStateFile{coordinator: c, name: noticesFile, interval: noticeInterval, encode: encode, requests: make(chan chan<- error)}
}

// storeNotice stores a notice here and at other coordinators. It returns nil once it is on the disks of one more
// coordinator than may be lost at the same time. The others receive it as well.
func (c *Coordinator) storeNotice(ctx context.Context, n *crwire.DirectoryNotice) error {
	ctx, cancel := context.WithTimeout(ctx, storeNoticeTimeout)
	defer cancel()
	peers := c.peers.storing()
	results := make(chan error, len(peers)+1)
	go func() { results <- c.saveNotice(ctx, n) }()
	for _, a := range peers {
		go func() { results <- c.replicateNotice(ctx, a, n) }()
	}
	missing := c.Settings.ToleratedFailures + 1
	var errs []error
	for range len(peers) + 1 {
		if err := <-results; err != nil {
			errs = append(errs, err)
			continue
		}
		if missing--; missing == 0 {
			return nil
		}
	}
	return crcode.New(crcode.NotStored, "%d more coordinators are needed: %v", missing, errors.Join(errs...))
}

func (c *Coordinator) replicateNotice(ctx context.Context, address string, n *crwire.DirectoryNotice) error {
	s, err := c.endpoint.Session(ctx, address)
	if err != nil {
		return err
	}
	_, err = crwire.Call[crwire.DirectoryEmpty](ctx, s, methodReplicateNotice, n)
	return err
}

// saveNotice stores a notice at this coordinator only.
func (c *Coordinator) saveNotice(ctx context.Context, n *crwire.DirectoryNotice) error {
	if err := c.directory.StoreNotice(proto.Clone(n).(*crwire.DirectoryNotice)); err != nil {
		return err
	}
	return c.notices.persist(ctx)
}

// loadNotices passes the saved notices to the directory. Call it before the directory runs.
func (c *Coordinator) loadNotices() {
	saved, err := decodeNotices(time.Now(), c.notices.load())
	if err != nil {
		c.recordFileError(noticesFile, err)
	}
	c.directory.InitialNotices = saved
}

func encodeNotices(now time.Time, notices []*crwire.DirectoryNotice) ([]byte, error) {
	raw, err := proto.Marshal(&crwire.SavedNotices{AtMs: now.UnixMilli(), Notices: notices})
	if err != nil {
		return nil, crcode.New(crcode.Internal, "notices: %v", err)
	}
	return raw, nil
}

// decodeNotices returns the notices of a file that have not expired. When the clock was set back, no notice gets a
// longer lifetime than it had when it was saved.
func decodeNotices(now time.Time, raw []byte) ([]*crwire.DirectoryNotice, error) {
	var saved crwire.SavedNotices
	if err := proto.Unmarshal(raw, &saved); err != nil {
		return nil, crcode.New(crcode.StoreDamaged, "notices: %v", err)
	}
	age := max(now.UnixMilli()-saved.GetAtMs(), 0)
	var out []*crwire.DirectoryNotice
	for _, n := range saved.GetNotices() {
		if n.ExpiresInMs -= age; n.ExpiresInMs > 0 {
			out = append(out, n)
		}
	}
	return out, nil
}
