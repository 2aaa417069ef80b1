package floodsoak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// attempts numbers the requests of a process.
var attempts atomic.Int64

// target is what a client asks for.
type target struct{ address, path string }

// Tally counts the answers that clients got.
type Tally struct {
	Served, Failed int
	Statuses       map[int]int // failed requests by status, 0 where no whole answer came
	Period         time.Duration
}

func (t Tally) rate() float64 { return float64(t.Served) / t.Period.Seconds() }

func (t Tally) String() string {
	return fmt.Sprintf("%d served, %d failed %v", t.Served, t.Failed, t.Statuses)
}

// newClient returns a client with one connection.
func newClient() *http.Client {
	return &http.Client{Timeout: 2 * deadlineMs * time.Millisecond, Transport: &http.Transport{MaxConnsPerHost: 1}}
}

// ask sends one request and returns its status, 0 if no whole answer came.
func ask(ctx context.Context, client *http.Client, to target) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+to.address+to.path, nil)
	if err != nil {
		return 0
	}
	request.Host = "hall.example"
	request.Header.Set("Willowsill-Attempt-Id", fmt.Sprint("a", attempts.Add(1)))
	request.Header.Set("Willowsill-Deadline-Ms", strconv.Itoa(deadlineMs))
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// requestUntil sends one request after the other until ctx ends.
func requestUntil(ctx context.Context, to target) {
	client := newClient()
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		if ask(ctx, client, to) == 0 {
			time.Sleep(goodPause)
		}
	}
}

// load sends requests from a number of clients for a period and counts the answers.
func load(ctx context.Context, to target, clients int, pause, period time.Duration) Tally {
	ctx, stop := context.WithTimeout(ctx, period)
	defer stop()
	var mu sync.Mutex
	total := Tally{Period: period, Statuses: map[int]int{}}
	var running sync.WaitGroup
	for range clients {
		running.Go(func() {
			client := newClient()
			defer client.CloseIdleConnections()
			for ctx.Err() == nil {
				status := ask(ctx, client, to)
				if status == 0 && ctx.Err() != nil { // broken off by the end of the period
					return
				}
				mu.Lock()
				if status == http.StatusOK {
					total.Served++
				} else {
					total.Failed++
					total.Statuses[status]++
				}
				mu.Unlock()
				time.Sleep(pause)
			}
		})
	}
	running.Wait()
	return total
}

// awaitAnswer waits until the system serves.
func awaitAnswer(ctx context.Context, to target) error {
	client := newClient()
	defer client.CloseIdleConnections()
	for until := time.Now().Add(serveWait); time.Now().Before(until); time.Sleep(servePoll) {
		if ask(ctx, client, to) == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s does not serve", to.path)
}
