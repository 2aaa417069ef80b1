package controlserver

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/go-faster/jx"
	"k8s.io/klog/v2"

	"willowsill/decide/controller"
	"willowsill/decide/rollout"
)

// Limits of the order of a rollout.
const (
	maxOrderBytes = 4 << 10       // largest body of an order
	maxNameBytes  = 256           // longest name of a service or a version
	maxOverS      = 7 * 24 * 3600 // longest duration of a rollout: a week, s
	msPerSecond   = 1000
)

// rolloutsHandler serves the resource of rollouts: begin, history, and read and abort for each service.
type rolloutsHandler struct{ server *Server }

func (h *rolloutsHandler) serve(w http.ResponseWriter, r *http.Request, call string) {
	service, ofService, named := strings.Cut(call, "/")
	control := h.server.controller
	switch {
	case call == "begin" && r.Method == http.MethodPost:
		h.begin(w, r)
	case call == "history" && r.Method == http.MethodGet:
		h.call(r.Context(), w, control.ListRollouts, encodeRollouts)
	case named && service != "" && ofService == "read" && r.Method == http.MethodGet:
		h.call(r.Context(), w, func(now int64, id uint64) controller.Effects { return control.ReadRollout(now, id, service) }, encodeNewest)
	case named && service != "" && ofService == "abort" && r.Method == http.MethodPost:
		h.call(r.Context(), w, func(now int64, id uint64) controller.Effects { return control.AbortRollout(now, id, service) }, encodeNewest)
	default:
		respondError(w, http.StatusNotFound, "rollouts have begin (POST), history (GET), SERVICE/read (GET) and SERVICE/abort (POST)")
	}
}

// begin handles an operator's order of a rollout.
func (h *rolloutsHandler) begin(w http.ResponseWriter, r *http.Request) {
	body, release, ok := h.server.readBody(w, r, maxOrderBytes)
	if !ok {
		return
	}
	defer release()
	order, err := parseOrder(body)
	if err != nil {
		respondError(w, http.StatusBadRequest, err.Error())
		return
	}
	klog.InfoS("a rollout was ordered", "service", order.Service, "target", order.Target, "overMs", order.OverMs)
	h.call(r.Context(), w, func(now int64, id uint64) controller.Effects { return h.server.controller.BeginRollout(now, id, order) }, encodeNewest)
}

// call makes a call to the controller and writes its answer.
func (h *rolloutsHandler) call(ctx context.Context, w http.ResponseWriter, in func(now int64, id uint64) controller.Effects, encode func([]rollout.Rollout) []byte) {
	a, ok := h.server.call(ctx, in)
	if ok && a.Status == http.StatusOK {
		a.Body = encode(a.Rollouts)
	}
	respondAnswer(w, a, ok)
}

// parseOrder decodes an order of a rollout and checks its limits. Unknown keys are ignored.
func parseOrder(body []byte) (o rollout.Order, err error) {
	seconds := 0.0
	err = jx.DecodeBytes(body).Obj(func(d *jx.Decoder, key string) (err error) {
		switch key {
		case "service":
			o.Service, err = d.Str()
		case "target-revision":
			o.Target, err = d.Str()
		case "over-s":
			seconds, err = d.Float64()
		default:
			return d.Skip()
		}
		if err != nil {
			return ErrControlServer.Wrapf(err, "%s", key)
		}
		return nil
	})
	if err != nil {
		return o, err
	}
	for name, value := range map[string]string{"service": o.Service, "target-revision": o.Target} {
		if value == "" || len(value) > maxNameBytes {
			return o, fmt.Errorf("%s is missing or longer than %d bytes", name, maxNameBytes)
		}
	}
	if !(seconds > 0 && seconds <= maxOverS) {
		return o, errors.New("over-s is missing, 0 or below, or longer than a week")
	}
	o.OverMs = max(int64(seconds*msPerSecond), 1)
	return o, nil
}

// encodeNewest encodes the only rollout of an answer.
func encodeNewest(all []rollout.Rollout) []byte {
	e := jx.Encoder{}
	for _, r := range all {
		encodeRollout(&e, r)
	}
	return e.Bytes()
}

// encodeRollouts encodes the rollouts of an answer as an array.
func encodeRollouts(all []rollout.Rollout) []byte {
	e := jx.Encoder{}
	e.ObjStart()
	e.FieldStart("rollouts")
	e.ArrStart()
	for _, r := range all {
		encodeRollout(&e, r)
	}
	e.ArrEnd()
	e.ObjEnd()
	return e.Bytes()
}

func encodeRollout(e *jx.Encoder, r rollout.Rollout) {
	e.ObjStart()
	for _, field := range []struct{ name, value string }{{"phase", r.Phase.String()}, {"target-revision", r.Order.Target}, {"service", r.Order.Service},
		{"stage", r.StageName()}, {"reason", r.Reason}} {
		e.FieldStart(field.name)
		e.Str(field.value)
	}
	for _, field := range []struct {
		name  string
		value int64
	}{{"number", int64(r.Number)}, {"step", int64(r.Step)}, {"over-ms", r.Order.OverMs}, {"elapsed-ms", r.ElapsedMs},
		{"target-share", int64(r.Shares.Target)}, {"others-share", int64(r.Shares.Others)}} {
		e.FieldStart(field.name)
		e.Int64(field.value)
	}
	e.ObjEnd()
}
