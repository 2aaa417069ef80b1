package main

import "context"

// background is a goroutine that runs beside the server while the operator's script enables its feature.
type background struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// startBackground runs the function in a goroutine until stop is called.
func startBackground(run func(context.Context)) *background {
	ctx, cancel := context.WithCancel(context.Background())
	b := &background{cancel, make(chan struct{})}
	go func() {
		defer close(b.done)
		run(ctx)
	}()
	return b
}

// stop cancels the goroutine's context and waits for the goroutine to return.
func (b *background) stop() {
	b.cancel()
	<-b.done
}
