package controlserver

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"

	"github.com/go-faster/jx"
	"k8s.io/klog/v2"

	"willowsill/decide/clusterstate"
	"willowsill/decide/controller"
	"willowsill/decide/registry"
	"willowsill/decide/routeconfig"
	"willowsill/transport/boundedread"
)

const (
	maxHeartbeatBytes     = 4 << 10 // largest body of a heartbeat
	maxConfigurationBytes = 4 << 20 // largest body of a configuration
)

// handler returns the HTTP handler of the resources replicas, configuration and rollouts. It counts all calls.
func (s *Server) handler() http.Handler {
	replicas, configuration, rollouts := &replicasHandler{s}, &configurationHandler{s}, &rolloutsHandler{s}
	serve := func(w http.ResponseWriter, r *http.Request) {
		if id, ok := strings.CutPrefix(r.URL.Path, "/v1/replicas/"); ok {
			id, call, _ := strings.Cut(id, "/")
			replicas.serve(w, r, id, call)
			return
		}
		if call, ok := strings.CutPrefix(r.URL.Path, "/v1/configuration/"); ok {
			configuration.serve(w, r, call)
			return
		}
		if call, ok := strings.CutPrefix(r.URL.Path, "/v1/rollouts/"); ok {
			rollouts.serve(w, r, call)
			return
		}
		respondError(w, http.StatusNotFound, "there is no such resource")
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.callCounts.serve(w, r, func(w http.ResponseWriter) { serve(w, r) })
	})
}

// readBody reads the body of a call. It has answered the call if it returns false; otherwise release has to be called once the body is not
// used any more.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, limit int64) (body []byte, release func(), ok bool) {
	account := s.callMemory.RemoteAccount(r.RemoteAddr)
	body, err := boundedread.AtMost(r.Body, limit, account)
	var passed *boundedread.LimitError
	switch {
	case errors.As(err, &passed) && passed.Limit == boundedread.BodyBytes:
		respondError(w, http.StatusRequestEntityTooLarge, "the body is too long")
	case err != nil:
		respondError(w, http.StatusServiceUnavailable, "the body did not come whole, or there is no room for it")
	}
	return body, func() { account.Release(int64(len(body))) }, err == nil
}

// respondError answers with a JSON object that holds the reason as its message.
func respondError(w http.ResponseWriter, status int, reason string) {
	e := jx.Encoder{}
	e.ObjStart()
	e.FieldStart("message")
	e.Str(reason)
	e.ObjEnd()
	respond(w, status, e.Bytes())
}

func respond(w http.ResponseWriter, status int, body []byte) {
	if len(body) == 0 {
		body = []byte("{}")
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	w.WriteHeader(status)
	w.Write(body)
}

// replicasHandler serves the resource of heartbeats and departures.
type replicasHandler struct{ server *Server }

func (h *replicasHandler) serve(w http.ResponseWriter, r *http.Request, id, call string) {
	if r.Method != http.MethodPost || id == "" {
		respondError(w, http.StatusMethodNotAllowed, "replicas are told of by POST")
		return
	}
	record := registry.Record{ID: id, Phase: registry.Gone}
	switch call {
	case "heartbeat":
		body, release, ok := h.server.readBody(w, r, maxHeartbeatBytes)
		if !ok {
			return
		}
		var err error
		record, err = parseHeartbeat(id, body)
		release()
		if err != nil {
			respondError(w, http.StatusBadRequest, err.Error())
			return
		}
	case "departure":
	default:
		respondError(w, http.StatusNotFound, "a replica has heartbeat and departure")
		return
	}
	a, ok := h.server.replicaCall(r.Context(), record)
	a.Body = h.server.heartbeatAnswer(a.HeartbeatTarget)
	respondAnswer(w, a, ok)
}

// heartbeatAnswer encodes the controller that the replica's next heartbeats should go to. The port is the same
// on all machines.
func (s *Server) heartbeatAnswer(target string) []byte {
	_, port, err := net.SplitHostPort(s.settings.Bind.Control)
	if err != nil || target == "" {
		return nil
	}
	e := jx.Encoder{}
	e.ObjStart()
	e.FieldStart("beat-target")
	e.Str(net.JoinHostPort(target, port))
	e.ObjEnd()
	return e.Bytes()
}

func respondAnswer(w http.ResponseWriter, a controller.Answer, ok bool) {
	switch {
	case !ok:
		respondError(w, http.StatusServiceUnavailable, "the call was broken off")
	case a.Status != http.StatusOK:
		respondError(w, a.Status, a.Reason)
	default:
		respond(w, a.Status, a.Body)
	}
}

// parseHeartbeat decodes the body of a heartbeat. Unknown keys are ignored; service and address are required.
func parseHeartbeat(id string, body []byte) (registry.Record, error) {
	r := registry.Record{ID: id}
	err := jx.DecodeBytes(body).Obj(func(d *jx.Decoder, key string) (err error) {
		var n int64
		switch key {
		case "service":
			r.Service, err = d.Str()
		case "address":
			r.Address, err = d.Str()
		case "zone":
			r.Zone, err = d.Str()
		case "revision":
			r.Version, err = d.Str()
		case "capacity":
			r.Capacity, err = d.Int()
		case "phase":
			var s string
			if s, err = d.Str(); err == nil {
				switch s {
				case "ready":
				case "draining":
					r.Phase = registry.Draining
				default:
					return fmt.Errorf("phase %q is unknown", s)
				}
			}
		case "warmup-left-ms":
			r.WarmMs, err = d.Int64()
		case "call-seq":
			n, err = d.Int64()
			r.Seq = uint64(max(n, 0))
		default:
			return d.Skip()
		}
		if err != nil {
			return ErrControlServer.Wrapf(err, "%s", key)
		}
		return nil
	})
	if err == nil && (r.Service == "" || r.Address == "") {
		err = ErrControlServer.Errorf("service or address is missing")
	}
	return r, err
}

// configurationHandler serves the resource of the whole configuration.
type configurationHandler struct{ server *Server }

func (h *configurationHandler) serve(w http.ResponseWriter, r *http.Request, call string) {
	switch {
	case call == "read" && r.Method == http.MethodGet:
		a, ok := h.server.call(r.Context(), h.server.controller.ReadConfiguration)
		if ok && a.Status == http.StatusOK {
			if a.Body, ok = clusterstate.Unpack(a.Body); !ok {
				respondError(w, http.StatusInternalServerError, "the configuration held here cannot be unpacked")
				return
			}
		}
		respondAnswer(w, a, ok)
	case call == "replace" && r.Method == http.MethodPost:
		h.replace(w, r)
	default:
		respondError(w, http.StatusNotFound, "the configuration has read (GET) and replace (POST)")
	}
}

// configModeHighest is the only supported mode of ordering configurations: the one with the highest revision is
// in force.
const configModeHighest = "highest"

// supportedMode reports whether configurations are accepted in a mode. Settings without a mode are from before
// modes existed.
func supportedMode(mode string) bool { return mode == "" || mode == configModeHighest }

// replace handles an operator's order to replace the configuration.
//
// If the deployment's mode of ordering configurations is unknown here, none is acknowledged: one that the mode
// refuses could be accepted, and the operators would be notified that it is in force. The status 501 makes clients
// retry at another controller, so the order succeeds once a version that supports the mode runs.
func (h *configurationHandler) replace(w http.ResponseWriter, r *http.Request) {
	if mode := h.server.settings.ConfigMode; !supportedMode(mode) {
		klog.ErrorS(nil, "the config_mode of the settings is unknown; a configuration is left unanswered", "mode", mode)
		respondError(w, http.StatusNotImplemented, fmt.Sprintf("config_mode %q is unknown here", mode))
		return
	}
	body, release, ok := h.server.readBody(w, r, maxConfigurationBytes)
	if !ok {
		return
	}
	defer release()
	c, err := routeconfig.Read(body)
	if err != nil {
		klog.InfoS("a configuration is refused", "bytes", len(body), "err", err.Error())
		respondError(w, http.StatusBadRequest, err.Error())
		return
	}
	packed := clusterstate.Pack(body)
	a, ok := h.server.call(r.Context(), func(now int64, id uint64) controller.Effects {
		return h.server.controller.PutConfiguration(now, id, c.Revision, packed)
	})
	klog.InfoS("a configuration was sent", "revision", c.Revision, "routes", len(c.Routes), "status", a.Status, "reason", a.Reason)
	respondAnswer(w, a, ok)
}
