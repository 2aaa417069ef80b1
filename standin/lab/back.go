package lab

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"willowsill/lab/emulator"
	"willowsill/standin"
	"willowsill/transport/replica"
)

// back is a replica that does in real time what the emulator's model does.
type back struct {
	*world
	number  int
	speed   float64
	workers chan struct{}

	mu      sync.Mutex // guards what follows
	chance  *rand.Rand
	address string
	close   func()
	born    time.Time // when it started, if it started in the run
	under   map[int]bool
	waiting int
	held    chan struct{} // closed when a pause is over; nil for none
}

func (b *back) host(health string) standin.Host {
	h := standin.Host{Host: fmt.Sprint("s-", b.number), Dial: b.address, Block: b.number % b.Shards(), Health: health, Share: 1}
	if !b.born.IsZero() {
		h.BornMS = b.born.UnixMilli()
	}
	return h
}

// up opens the replica, at its old address if it had one.
func (b *back) up() error {
	address := b.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	b.address = l.Addr().String()
	toy := &standin.Replica{Answer: b.answer}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		toy.Serve(l)
	}()
	b.close = func() {
		l.Close()
		<-ended
	}
	return nil
}

func (b *back) down() {
	if b.close != nil {
		b.close()
		b.close = nil
	}
}

// has tells whether a fault of a kind holds here now.
func (b *back) has(kind string) (f emulator.Fault, holds bool) {
	for i := range b.Faults {
		if b.under[i] && b.Faults[i].Kind == kind {
			return b.Faults[i], true
		}
	}
	return f, false
}

func (b *back) hangs() bool {
	if _, hung := b.has("hang"); hung {
		return true
	}
	f, flaps := b.has("flap")
	return flaps && (b.now()-f.From)%f.Every < f.For
}

func (b *back) answer(ctx context.Context, p replica.Part) (replica.Reply, bool) {
	b.mu.Lock()
	b.came(p, len(b.under) > 0)
	_, errs := b.has("errors")
	hung := b.hangs()
	full := b.Room > 0 && b.waiting >= b.Room
	if !errs && !hung && !full {
		b.waiting++
	}
	b.mu.Unlock()
	switch {
	case errs:
		time.Sleep(time.Millisecond)
		return replica.Reply{ID: p.ID, End: replica.Failed}, true
	case hung:
		<-ctx.Done()
		return replica.Reply{}, false
	case full:
		return replica.Reply{ID: p.ID, End: replica.TurnedAway}, true
	}
	got := false
	select {
	case b.workers <- struct{}{}:
		got = true
		defer func() { <-b.workers }()
	case <-ctx.Done():
	}
	b.mu.Lock()
	b.waiting--
	takes := b.takes()
	b.mu.Unlock()
	if !got || !b.work(ctx, takes) {
		return replica.Reply{}, false
	}
	b.mu.Lock()
	_, lost := b.has("silence")
	lost = lost || b.hangs()
	b.mu.Unlock()
	if lost {
		<-ctx.Done()
		return replica.Reply{}, false
	}
	return replica.Reply{ID: p.ID, Value: "v"}, true
}

// takes draws how long a part takes here and now, by the emulator's law.
func (b *back) takes() time.Duration {
	t := float64(b.Work) * math.Exp(b.Spread*b.chance.NormFloat64()) * b.speed
	if b.Tail > 0 && b.chance.Float64() < b.Tail {
		t *= math.Pow(1-b.chance.Float64(), -1/1.5)
	}
	if f, slow := b.has("slow"); slow {
		t *= f.Times
	}
	if age := int64(time.Since(b.born)); !b.born.IsZero() && age < b.ColdRamp {
		t /= b.ColdShare + (1-b.ColdShare)*float64(age)/float64(b.ColdRamp)
	}
	return time.Duration(min(t, 600e9))
}

// work takes a time, pauses left out.
func (b *back) work(ctx context.Context, left time.Duration) bool {
	for {
		b.mu.Lock()
		held := b.held
		b.mu.Unlock()
		if held != nil {
			select {
			case <-held:
				continue
			case <-ctx.Done():
				return false
			}
		}
		slice := min(left, 5*time.Millisecond) // how late a pause is noticed
		began := time.Now()
		select {
		case <-time.After(slice):
		case <-ctx.Done():
			return false
		}
		if left -= time.Since(began); left <= 0 {
			return true
		}
	}
}

// tell has the list change after its delay.
func (b *back) tell(health string) {
	b.mu.Lock()
	h, wait := b.host(health), b.ListDelay+b.chance.Int64N(b.ListDelay+1)
	b.mu.Unlock()
	time.AfterFunc(time.Duration(wait), func() { b.list.Change(h) })
}

// befall has one of the plan's faults begin and end here.
func (b *back) befall(number int) {
	f := b.Faults[number]
	time.Sleep(time.Until(b.began.Add(time.Duration(f.From))))
	b.mu.Lock()
	if b.under == nil {
		b.under = map[int]bool{}
	}
	b.under[number] = true
	b.mu.Unlock()
	switch f.Kind {
	case "restart":
		b.down()
		b.tell("left")
	case "drain":
		b.tell("leaving")
	case "pause":
		b.pause(f)
	}
	time.Sleep(time.Until(b.began.Add(time.Duration(f.Until))))
	b.mu.Lock()
	delete(b.under, number)
	if f.Kind == "restart" {
		b.born = time.Now()
	}
	b.mu.Unlock()
	switch f.Kind {
	case "restart":
		if err := b.up(); err == nil {
			b.tell("active")
		}
	case "drain":
		b.tell("active")
	}
}

// pause has all work stand still for a stretch of each period.
func (b *back) pause(f emulator.Fault) {
	for at := f.From; at < f.Until; at += max(f.Every, f.For) {
		time.Sleep(time.Until(b.began.Add(time.Duration(at))))
		held := make(chan struct{})
		b.mu.Lock()
		b.held = held
		b.mu.Unlock()
		time.Sleep(time.Duration(f.For))
		b.mu.Lock()
		b.held = nil
		b.mu.Unlock()
		close(held)
	}
}
