package main

import "context"

// background is what runs beside the service for as long as the operator's script asks for it.
type background struct {
	cancel context.CancelFunc
	ended  chan struct{}
}

// begin runs it.
func begin(run func(context.Context)) *background {
	ctx, cancel := context.WithCancel(context.Background())
	b := &background{cancel, make(chan struct{})}
	go func() {
		defer close(b.ended)
		run(ctx)
	}()
	return b
}

// end stops it, and returns when it has ended.
func (b *background) end() {
	b.cancel()
	<-b.ended
}
