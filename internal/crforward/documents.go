package crforward

import (
	"sync"
	"time"

	"github.com/citronramp/citronramp/internal/crdocument"
	"github.com/citronramp/citronramp/internal/crevent"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// documents holds the configuration document in force, which is the reference for later packed (delta-encoded)
// documents.
type documents struct {
	// applying serialises the two coordinator links in putting a document in force.
	applying sync.Mutex

	mu      sync.Mutex
	current *crwire.Document
	// wantUnpacked requests the next document without a reference, after one could not be unpacked.
	wantUnpacked bool
}

// reference returns the document that a coordinator may use as reference, nil for none.
func (d *documents) reference() *crwire.Document {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.wantUnpacked {
		return nil
	}
	return d.current
}

// resolve returns the document of a feed message, nil if it carries none; reference is the last document received on
// this feed.
func (d *documents) resolve(reference *crwire.Document, f *crwire.DocumentFeed) (*crwire.Document, error) {
	packed := f.GetPacked()
	if packed == nil {
		return f.GetDocument(), nil
	}
	d.mu.Lock()
	current := d.current
	d.mu.Unlock()
	if current.GetVersion() == packed.GetVersion() {
		// The other link has delivered this version already.
		return current, nil
	}
	out, err := crdocument.Unpack(reference, packed)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wantUnpacked = err != nil
	return out, err
}

func (d *documents) setCurrent(current *crwire.Document) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.current = current
}

// applyDocument puts a document in force if it is newer than the current one.
func (n *Node) applyDocument(d *crwire.Document, confirmed bool) {
	n.documents.applying.Lock()
	defer n.documents.applying.Unlock()
	if old := n.table.Load(); d.GetVersion() == 0 || old != nil && d.GetVersion() <= old.Version() {
		return
	}
	t, err := n.Parse(d)
	if err != nil {
		n.reportUnreadable(d.GetVersion(), err)
		return
	}
	n.keyedRoutes.retain(t)
	n.table.Store(t)
	n.freshness.applied(t.Version())
	n.documents.setCurrent(d)
	n.directory.Watch(t.Services(), append(t.Services(), n.departureTopic()))
	n.Log.Emit(time.Now(), crevent.State, crevent.ConfigLearned, crevent.KeyVersion, t.Version(), crevent.KeyCount, t.Routes(), crevent.KeyOutcome, confirmed)
}

func (n *Node) reportUnreadable(version uint64, err error) {
	n.Counters.Add("documents_unreadable", 1)
	n.Log.Emit(time.Now(), crevent.State, crevent.ConfigRefused, crevent.KeyVersion, version, crevent.KeyCode, crcode.Of(err), crevent.KeyError, err)
}
