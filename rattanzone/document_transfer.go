package rattanzone

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanpeer"
	"github.com/rattanlever/rattanlever/rattanwork"
)

const (
	// partBytes is the size of the parts in which a document is sent, so that the
	// other messages on the link do not wait for long.
	partBytes = 32 << 10
	// transferTimeout bounds the transfer of a document.
	transferTimeout = 1500 * time.Millisecond
	// maxDocumentBytes limits the size of a document.
	maxDocumentBytes = 8 << 20
)

// errMalformedDocument reports parts that no instance sends.
const errMalformedDocument = errors.ConstError("malformed parts of a desired state")

// DocumentPeers carries the transfers of documents between instances.
type DocumentPeers interface {
	Call(ctx context.Context, address, method string, body []byte) ([]byte, error)
	Handle(method string, handler rattanpeer.Handler)
}

// documentRequest asks an instance for a part of its encoded desired state.
type documentRequest struct {
	// Version is that of the parts received so far, 0 if there are none.
	Version int64
	// Offset is the number of bytes received so far.
	Offset int
}

// documentPart is a part of an encoded desired state. If the version is not the
// requested one, the transfer begins anew with it.
type documentPart struct {
	Version int64
	// Revision is the store revision up to which the version is the newest one, 0
	// if the sender does not know it.
	Revision int64
	Offset   int
	// Size is the size of the whole encoded state.
	Size int
	Data []byte
}

// versionedDocument is a desired state as received.
type versionedDocument struct {
	version  int64
	revision int64
	document []byte
}

// documentEncoder keeps the encoded forms of the last two versions that other
// instances have asked for, so that a transfer that has begun can be completed.
type documentEncoder struct {
	mutex   sync.Mutex
	version int64
	encoded []byte
	former  int64
	// formerEncoded is nil if there is no former version.
	formerEncoded []byte
}

// encode returns the encoded form of the former version if that is requested,
// otherwise that of the current one, and the version.
func (e *documentEncoder) encode(requested int64, current versionedDocument) (int64, []byte, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.version < current.version {
		encoded, err := encodeDocument(current.document)
		if err != nil {
			return 0, nil, err
		}
		e.former, e.formerEncoded = e.version, e.encoded
		e.version, e.encoded = current.version, encoded
	}
	if requested != 0 && requested == e.former {
		return e.former, e.formerEncoded, nil
	}
	return e.version, e.encoded, nil
}

func encodeDocument(document []byte) ([]byte, error) {
	var buffer bytes.Buffer
	writer, err := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if _, err := writer.Write(document); err != nil {
		return nil, errors.Trace(err)
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	return bytes.Clone(buffer.Bytes()), nil
}

func decodeDocument(encoded []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(encoded))
	if err != nil {
		return nil, errors.WithType(err, errMalformedDocument)
	}
	document, err := io.ReadAll(io.LimitReader(reader, maxDocumentBytes+1))
	if err != nil {
		return nil, errors.WithType(err, errMalformedDocument)
	}
	if len(document) > maxDocumentBytes {
		return nil, errors.Annotate(errMalformedDocument, "too large")
	}
	return document, nil
}

// handlePart answers with a part of the desired state in force.
func (w *DesiredStateWatcher) handlePart(_ context.Context, _ string, body []byte) ([]byte, error) {
	var request documentRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, errors.Annotate(err, "decode request for a desired state")
	}
	current := w.current()
	if current.version == 0 {
		return nil, rattanwork.ErrNoDesiredState
	}
	version, encoded, err := w.encoder.encode(request.Version, current)
	if err != nil {
		return nil, err
	}
	part := documentPart{Version: version, Size: len(encoded)}
	if version == current.version {
		part.Revision = current.revision
	}
	if version == request.Version {
		part.Offset = max(0, min(request.Offset, len(encoded)))
	}
	part.Data = encoded[part.Offset:min(part.Offset+partBytes, len(encoded))]
	return mustMarshal(part), nil
}

// handleWhole answers instances of the former version, which ask for the whole
// document.
func (w *DesiredStateWatcher) handleWhole(context.Context, string, []byte) ([]byte, error) {
	return w.current().document, nil
}

// transfer fetches the desired state of another instance.
func (w *DesiredStateWatcher) transfer(ctx context.Context, address string) (versionedDocument, error) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	var received versionedDocument
	var encoded []byte
	for {
		part, err := w.fetchPart(ctx, address, documentRequest{Version: received.version, Offset: len(encoded)})
		if errors.Is(err, rattanpeer.ErrNoMethod) {
			document, err := w.call(ctx, address, methodDesiredState, nil)
			return versionedDocument{document: document}, err
		}
		if err != nil {
			return versionedDocument{}, err
		}
		if part.Version != received.version {
			received = versionedDocument{version: part.Version, revision: part.Revision}
			encoded = nil
		}
		if part.Offset != len(encoded) || part.Size > maxDocumentBytes || len(part.Data) == 0 {
			return versionedDocument{}, errMalformedDocument
		}
		encoded = append(encoded, part.Data...)
		if len(encoded) >= part.Size {
			received.document, err = decodeDocument(encoded)
			return received, err
		}
	}
}

func (w *DesiredStateWatcher) fetchPart(ctx context.Context, address string, request documentRequest) (documentPart, error) {
	body, err := w.call(ctx, address, methodDesiredStatePart, mustMarshal(request))
	if err != nil {
		return documentPart{}, err
	}
	var part documentPart
	if err := json.Unmarshal(body, &part); err != nil {
		return documentPart{}, errors.WithType(err, errMalformedDocument)
	}
	return part, nil
}

func (w *DesiredStateWatcher) call(ctx context.Context, address, method string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	return w.config.Peers.Call(ctx, address, method, body)
}
