package clienthttp

import (
	"errors"
	"net/http"
	"os"
	"time"

	"willowsill/transport/boundedread"
)

// noRoomWait is how long a client whose body does not fit into memory is asked to wait.
const noRoomWait = time.Second

// readBody reads the body of a request, and takes its memory from the account unless there is an error. The body must have come within a
// time.
//
// Danger: a client that stops in the middle of its body would otherwise get no answer, and hold what it has sent in memory, for as long
// as it keeps the connection.
func readBody(w http.ResponseWriter, r *http.Request, account *boundedread.Account, limit int, within time.Duration) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil, nil
	}
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.ContentLength > int64(limit) {
		return nil, &http.MaxBytesError{Limit: int64(limit)}
	}
	control := http.NewResponseController(w)
	control.SetReadDeadline(time.Now().Add(within)) // not supported in tests without a connection
	body, err := readLimited(w, r, account, limit)
	if err != nil {
		control.SetReadDeadline(time.Now()) // the server does not wait for the rest
		return nil, err
	}
	control.SetReadDeadline(time.Time{})
	return body, nil
}

func readLimited(w http.ResponseWriter, r *http.Request, account *boundedread.Account, limit int) ([]byte, error) {
	if r.ContentLength > 0 {
		return boundedread.Exactly(r.Body, r.ContentLength, account)
	}
	return boundedread.All(http.MaxBytesReader(w, r.Body, int64(limit)), account)
}

// refuseBody answers a request whose body could not be read. The connection is closed, because the rest of the body may still come.
func refuseBody(w http.ResponseWriter, err error) {
	w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		refuse(w, http.StatusRequestEntityTooLarge, 0)
	case errors.Is(err, boundedread.ErrNoRoom):
		refuse(w, http.StatusServiceUnavailable, int64(noRoomWait))
	case errors.Is(err, os.ErrDeadlineExceeded):
		refuse(w, http.StatusRequestTimeout, 0)
	default:
		refuse(w, http.StatusBadRequest, 0)
	}
}
