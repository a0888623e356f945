package crcoord

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
)

const (
	// noticesFile is the name of the file that stores the directory's notices, so that quarantined requests stay
	// blocked when nodes and coordinators restart together.
	noticesFile = "notices"
	// noticeInterval is the minimum time between two writes of the file. A notice of a crashing request may take
	// three seconds to reach all processes.
	noticeInterval = time.Second
)

func (c *Coordinator) noticesFile() *softStateFile {
	last := c.directory.NoticesAccepted()
	return &softStateFile{coordinator: c, name: noticesFile, interval: noticeInterval, encode: func() ([]byte, error) {
		accepted := c.directory.NoticesAccepted()
		if accepted == last {
			return nil, nil
		}
		last = accepted
		return encodeNotices(time.Now(), c.directory.Notices())
	}}
}

// loadNotices passes the saved notices to the directory. Call it before the directory runs.
func (c *Coordinator) loadNotices() {
	saved, err := decodeNotices(time.Now(), c.noticesFile().load())
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
