package entry

import (
	"context"
	"errors"
	"time"

	"github.com/jacinthstall/jacinthstall/platform"
	"github.com/jacinthstall/jacinthstall/policy"
)

const (
	// KeyDocument is the platform key of the operators' document.
	KeyDocument = "config/document"

	watchWait     = 10 * time.Second
	watchRetry    = 500 * time.Millisecond
	documentLabel = "published document"
)

// watchDocument keeps the document in force up to date. Only a higher version
// replaces the current one.
func (in *Instance) watchDocument(ctx context.Context) {
	var revision uint64
	for ctx.Err() == nil {
		v, err := in.platform.Watch(ctx, KeyDocument, revision, watchWait)
		if err != nil {
			if !errors.Is(err, platform.ErrNotFound) {
				in.log.WithError(err).Warn("document not read")
			}
			pause(ctx, watchRetry)
			continue
		}
		if v.Revision == revision {
			continue
		}
		revision = v.Revision
		in.offerDocument(v.Data)
	}
}

func (in *Instance) offerDocument(data []byte) {
	d, err := policy.Parse(documentLabel, data)
	if err != nil {
		in.log.WithError(err).Error("published document is not valid")
		return
	}
	if current := in.document.Load(); current != nil && current.Version >= d.Version {
		in.log.WithField("version", d.Version).Warn("older document ignored")
		return
	}
	in.document.Store(d)
	in.log.WithField("version", d.Version).Info("document in force")
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
