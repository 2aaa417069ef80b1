package main

import "context"

// background is what runs beside the service for as long as the operator's script asks for it.
type background struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// startBackground runs it.
func startBackground(run func(context.Context)) *background {
	ctx, cancel := context.WithCancel(context.Background())
	b := &background{cancel, make(chan struct{})}
	go func() {
		defer close(b.done)
		run(ctx)
	}()
	return b
}

// stop stops it, and returns when it has ended.
func (b *background) stop() {
	b.cancel()
	<-b.done
}
