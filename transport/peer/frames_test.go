package peer

import (
	"encoding/binary"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"willowsill/transport/boundedread"
)

const frameMemory = 34 << 20

// stopWithinFrame announces the longest frame and sends all of it but the last bytes.
func stopWithinFrame(conn net.Conn) {
	const missing = 4 << 10
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, maxFrameBytes), maxFrameBytes)
	conn.Write(frame[:cap(frame)-missing])
}

// fromAddress is a connection from a peer at an address.
type fromAddress struct {
	net.Conn
	address net.TCPAddr
}

func (c *fromAddress) RemoteAddr() net.Addr { return &c.address }

// receiving returns the peer's end of a link that receives messages until it fails, and when that was.
func receiving(frames *boundedread.Budget, port int) (far net.Conn, failedAt chan time.Time) {
	near, far := net.Pipe()
	link := NewLink(&fromAddress{near, net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port}}, frames)
	failedAt = make(chan time.Time, 1)
	go func() {
		var message string
		for link.Receive(&message, 0) == nil {
		}
		failedAt <- time.Now()
		link.Close()
	}()
	return far, failedAt
}

// TestFramesThatStop (FAULT): however many peers stop within a frame, what is held of them all fits into the budget, a message of another
// link still comes, and after a while nothing is held any more.
func TestFramesThatStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		frames := boundedread.NewBudget(frameMemory)
		var ends []chan time.Time
		for n := range 60 {
			far, failedAt := receiving(frames, 1000+n)
			ends = append(ends, failedAt)
			go stopWithinFrame(far)
		}
		synctest.Wait()
		must.Between(t, 1, frames.Held(), frameMemory)
		near, far := net.Pipe()
		sender, receiver := NewLink(near, nil), NewLink(&fromAddress{far, net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1}}, frames)
		defer sender.Close()
		defer receiver.Close()
		must.NoError(t, sender.SendMessage("still here"))
		var message string
		must.NoError(t, receiver.Receive(&message, time.Second))
		must.Eq(t, "still here", message)
		time.Sleep(frameTimeout + time.Second)
		synctest.Wait()
		must.Eq(t, 0, frames.Held())
		for _, failedAt := range ends {
			<-failedAt
		}
	})
}

// TestLongestFrame: a frame of the longest size is received while nothing else is held, and gives back its memory.
func TestLongestFrame(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		frames := boundedread.NewBudget(frameMemory)
		near, far := net.Pipe()
		sender, receiver := NewLink(near, nil), NewLink(far, frames)
		defer sender.Close()
		defer receiver.Close()
		sent := make([]byte, maxFrameBytes-16)
		must.NoError(t, sender.SendMessage(sent))
		var message []byte
		must.NoError(t, receiver.Receive(&message, time.Minute))
		must.Eq(t, len(sent), len(message))
		must.Eq(t, 0, frames.Held())
	})
}

// TestLinkOnWhichNothingIsDue (FAULT): what a peer sends where it should send nothing is not kept, and ends the link.
func TestLinkOnWhichNothingIsDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		link := NewLink(near, nil)
		defer link.Close()
		go far.Write(make([]byte, 1<<20))
		link.AwaitEnd()
		far.Close()
	})
}
