package kv

import "context"

type progressKey struct{}

// WithProgress returns a context with which a read calls progress after each
// part of its response that arrives in time.
func WithProgress(ctx context.Context, progress func()) context.Context {
	return context.WithValue(ctx, progressKey{}, progress)
}

func reportProgress(ctx context.Context) {
	if progress, ok := ctx.Value(progressKey{}).(func()); ok {
		progress()
	}
}
