package crdocument

import (
	"github.com/klauspost/compress/zstd"

	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
)

const (
	// dictionaryID marks frames that need the reference document as their dictionary; zstd requires an id above 0.
	dictionaryID = 1
	// packWindow is the compression window in bytes. It covers a reference and a document of a megabyte each.
	packWindow = 4 << 20
	// maxUnpacked bounds the size of an unpacked document. The operator API accepts only smaller ones.
	maxUnpacked = 64 << 20
)

// Pack compresses a document for a receiver that holds the reference; nil or a reference of version 0 means none. The
// frame contains a checksum of the document, so that unpacking with a different reference fails.
func Pack(reference, d *crwire.Document) (*crwire.PackedDocument, error) {
	options := []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(packWindow)}
	if len(reference.GetBody()) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, reference.GetBody()))
	}
	w, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, crcode.New(crcode.Internal, "pack document %d: %v", d.GetVersion(), err)
	}
	return &crwire.PackedDocument{
		Version: d.GetVersion(), Base: d.GetBase(), Reference: reference.GetVersion(), Body: w.EncodeAll(d.GetBody(), nil),
	}, nil
}

// Unpack restores a document. The reference must be the document that was passed to Pack.
func Unpack(reference *crwire.Document, p *crwire.PackedDocument) (*crwire.Document, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxUnpacked)}
	if p.GetReference() != 0 {
		if reference.GetVersion() != p.GetReference() {
			return nil, crcode.New(crcode.MalformedMessage, "document %d refers to version %d, not %d", p.GetVersion(), p.GetReference(), reference.GetVersion())
		}
		if len(reference.GetBody()) > 0 {
			options = append(options, zstd.WithDecoderDictRaw(dictionaryID, reference.GetBody()))
		}
	}
	r, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, crcode.New(crcode.Internal, "unpack document %d: %v", p.GetVersion(), err)
	}
	defer r.Close()
	body, err := r.DecodeAll(p.GetBody(), nil)
	if err != nil {
		return nil, crcode.New(crcode.MalformedMessage, "unpack document %d: %v", p.GetVersion(), err)
	}
	return &crwire.Document{Version: p.GetVersion(), Base: p.GetBase(), Body: body}, nil
}
