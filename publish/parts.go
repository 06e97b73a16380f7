package publish

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sync/errgroup"

	"siskingw/errdefs"
	"siskingw/snapshot"
	"siskingw/store"
)

// maxParallelParts limits the concurrent store calls that read or write the
// parts of one version.
const maxParallelParts = 8

// emptyPart is the digest of empty content, such as that of an empty shard,
// which is not stored.
var emptyPart = snapshot.Digest(sha256.Sum256(nil))

// part is content to be written to the store under its digest.
type part struct {
	digest snapshot.Digest // of the uncompressed content
	value  []byte          // zstd-compressed content
}

// newPart returns the part for content. It returns an Invalid error when the
// compressed content is too large for one store value; desc describes the
// content in the error.
func newPart(desc string, content []byte) (part, error) {
	p := part{digest: sha256.Sum256(content), value: snapshot.Compress(content)}
	if len(p.value) >= store.MaxValueBytes {
		return part{}, errdefs.Invalid.New("%s compresses to %d bytes; a store value must be smaller than %d bytes",
			desc, len(p.value), store.MaxValueBytes)
	}
	return p, nil
}

// newJSONPart returns the part for the JSON encoding of v, with errors like
// newPart.
func newJSONPart(desc string, v any) (part, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return part{}, errdefs.Internal.Wrap(err, "%s cannot be encoded", desc)
	}
	return newPart(desc, b)
}

func partKey(d snapshot.Digest) string { return partPrefix + d.String() }

// getPart returns the content of a part. It returns a NotFound error for a part
// that was never written or has been garbage-collected, and a Corrupt error
// when the content does not match the digest.
func getPart(ctx context.Context, st store.Store, d snapshot.Digest) ([]byte, error) {
	if d == emptyPart {
		return nil, nil
	}
	kv, err := st.Get(ctx, partKey(d))
	if err != nil {
		return nil, err
	}
	content, err := snapshot.Decompress(kv.Value)
	if err != nil {
		return nil, err
	}
	if got := snapshot.Digest(sha256.Sum256(content)); got != d {
		return nil, errdefs.Corrupt.New("content of part %s has digest %s", d, got)
	}
	return content, nil
}

// getJSONPart decodes the content of a part into v, with errors like getPart.
func getJSONPart(ctx context.Context, st store.Store, d snapshot.Digest, v any) error {
	content, err := getPart(ctx, st, d)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(content, v); err != nil {
		return errdefs.Corrupt.Wrap(err, "part %s cannot be decoded", d)
	}
	return nil
}

// putParts writes every part. It also rewrites existing parts: the new mod
// revision prevents a concurrent garbage collection from deleting them. As no
// version refers to the parts yet, a failure certainly has no effect, and the
// error is StoreUnavailable, not StoreUnknown.
//
//siskingw:step write-parts
func putParts(ctx context.Context, st store.Store, parts []part) error {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelParts)
	for _, p := range parts {
		g.Go(func() error { return putPart(ctx, st, p) })
	}
	return g.Wait()
}

// putPart writes one part. It retries after each lost response until ctx is
// done.
func putPart(ctx context.Context, st store.Store, p part) error {
	retry := newBackOff()
	for {
		_, err := st.Put(ctx, partKey(p.digest), p.value, 0)
		if !errorx.IsOfType(err, errdefs.StoreUnknown) {
			return err
		}
		select {
		case <-time.After(retry.NextBackOff()):
		case <-ctx.Done():
			return errdefs.StoreUnavailable.Wrap(err, "part %s was not written", p.digest)
		}
	}
}
