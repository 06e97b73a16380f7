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

// maxParallelParts bounds the store calls that one version reads or writes at
// the same time.
const maxParallelParts = 8

// emptyPart is the digest of an empty shard, which is not stored.
var emptyPart = snapshot.Digest(sha256.Sum256(nil))

// part is content on its way into the store.
type part struct {
	digest snapshot.Digest
	value  []byte // compressed
}

// newPart compresses content. It returns an Invalid error when the result
// does not fit into one value of the store; what names the content.
func newPart(what string, content []byte) (part, error) {
	p := part{digest: sha256.Sum256(content), value: snapshot.Compress(content)}
	if len(p.value) >= store.MaxValueBytes {
		return part{}, errdefs.Invalid.New("%s compresses to %d bytes; a value of the store holds less than %d",
			what, len(p.value), store.MaxValueBytes)
	}
	return p, nil
}

// newJSONPart encodes v as JSON and compresses it.
func newJSONPart(what string, v any) (part, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return part{}, errdefs.Internal.Wrap(err, "%s cannot be encoded", what)
	}
	return newPart(what, b)
}

func partKey(d snapshot.Digest) string { return partPrefix + d.String() }

// getPart reads one part and checks its digest. It returns NotFound for a part
// that was never written or has been collected.
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
		return nil, errdefs.Corrupt.New("part %s has content of digest %s", d, got)
	}
	return content, nil
}

// getJSONPart reads one part into v.
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

// putParts writes every part. A part that exists is written again: the new mod
// revision keeps a running collection from deleting it. On error no version
// refers to the parts, so the failure is certain: StoreUnavailable.
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

// putPart writes one part, again after each lost answer, until ctx ends.
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
