package redis

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"
)

// value is what a key holds: a string, a hash or a sorted set.
type value struct {
	text      string
	hash      map[string]string
	scores    map[string]float64
	expiresAt time.Time // zero for ever
}

func (v value) copy() value {
	v.hash, v.scores = maps.Clone(v.hash), maps.Clone(v.scores)
	return v
}

func (v value) expired(now time.Time) bool { return !v.expiresAt.IsZero() && !now.Before(v.expiresAt) }

const (
	wrongType = "-WRONGTYPE Operation against a key holding the wrong kind of value\r\n"
	notInt    = "-ERR value is not an integer or out of range\r\n"
	syntax    = "-ERR syntax error\r\n"
)

func (s *Server) ensureData() {
	if s.data == nil {
		s.data = map[string]value{}
	}
}

// execute carries a command out.
func (s *Server) execute(me *session, f Fault, args []string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ensureData()
	name := strings.ToUpper(args[0])
	if s.countByName == nil {
		s.countByName = map[string]int64{}
	}
	s.countByName[name]++
	greeting := name == "HELLO" || name == "AUTH" || name == "QUIT"
	switch {
	case !greeting && s.password != "" && !me.authenticated:
		return []byte("-NOAUTH Authentication required.\r\n")
	case !greeting && f.Error != "":
		return []byte("-" + f.Error + "\r\n")
	case f.ArrayLength > 0 && !greeting:
		return []byte("*" + strconv.FormatInt(f.ArrayLength, 10) + "\r\n")
	}
	c, ok := commands[name]
	if !ok {
		return []byte("-ERR unknown command '" + args[0] + "'\r\n")
	}
	if n := len(args); n < c.minArgs || c.maxArgs > 0 && n > c.maxArgs {
		return []byte("-ERR wrong number of arguments for '" + strings.ToLower(name) + "' command\r\n")
	}
	w := &writer{resp3: me.resp3, fault: f}
	if greeting {
		w.fault = Fault{}
	}
	c.run(s, me, w, args)
	return w.out
}

// CommandCount is how often a command came.
func (s *Server) CommandCount(name string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.countByName[name]
}

// writer makes a reply.
type writer struct {
	out   []byte
	resp3 bool
	fault Fault
}

func (w *writer) raw(s string)           { w.out = append(w.out, s...) }
func (w *writer) integer(n int64)        { w.raw(":" + strconv.FormatInt(n, 10) + "\r\n") }
func (w *writer) array(n int)            { w.raw("*" + strconv.Itoa(n) + "\r\n") }
func (w *writer) ok()                    { w.raw("+OK\r\n") }
func (w *writer) errorReply(text string) { w.raw(text) }

func (w *writer) bulk(s string) {
	if w.fault.BulkLength > 0 {
		w.raw("$" + strconv.FormatInt(w.fault.BulkLength, 10) + "\r\n")
		return
	}
	if w.fault.CorruptBulk && len(s) > 0 {
		b := []byte(s)
		b[len(b)/2] ^= 0x55
		s = string(b)
	}
	w.raw("$" + strconv.Itoa(len(s)) + "\r\n" + s + "\r\n")
}

func (w *writer) null() {
	if w.resp3 {
		w.raw("_\r\n")
	} else {
		w.raw("$-1\r\n")
	}
}

type command struct {
	minArgs, maxArgs int // arguments with the name; 0 for no limit
	run              func(s *Server, me *session, w *writer, args []string)
}

var commands map[string]command

func init() {
	commands = map[string]command{
		"HELLO":            {1, 0, hello},
		"AUTH":             {2, 3, auth},
		"SELECT":           {2, 2, selectDatabase},
		"PING":             {1, 2, func(s *Server, _ *session, w *writer, _ []string) { w.raw("+PONG\r\n") }},
		"QUIT":             {1, 1, func(s *Server, _ *session, w *writer, _ []string) { w.ok() }},
		"CLIENT":           {2, 0, func(s *Server, _ *session, w *writer, _ []string) { w.ok() }},
		"TIME":             {1, 1, serverTime},
		"GET":              {2, 2, get},
		"MGET":             {2, 0, mget},
		"SET":              {3, 0, set},
		"DEL":              {2, 0, del},
		"INCRBY":           {3, 3, incrBy},
		"PEXPIRE":          {3, 3, pexpire},
		"PTTL":             {2, 2, pttl},
		"ZADD":             {4, 4, zadd},
		"ZCOUNT":           {4, 4, zcount},
		"ZREMRANGEBYSCORE": {4, 4, zremRangeByScore},
		"HSET":             {4, 4, hset},
		"HDEL":             {3, 0, hdel},
		"HLEN":             {2, 2, hlen},
		"HRANDFIELD":       {4, 4, hrandField},
	}
}

// base gives each database keys of its own.
func (me *session) key(k string) string {
	if me.database == 0 {
		return k
	}
	return strconv.Itoa(me.database) + "\x00" + k
}

// lookup is a key's value if it is there; right tells whether it has the type that is wanted.
func (s *Server) lookup(me *session, k string, right func(value) bool, w *writer) (v value, there, fits bool) {
	k = me.key(k)
	v, there = s.data[k]
	if there && v.expired(time.Now()) {
		delete(s.data, k)
		v, there = value{}, false
	}
	if there && !right(v) {
		w.errorReply(wrongType)
		return v, true, false
	}
	return v, there, true
}

func isText(v value) bool   { return v.hash == nil && v.scores == nil }
func isHash(v value) bool   { return v.hash != nil }
func isScores(v value) bool { return v.scores != nil }

func hello(s *Server, me *session, w *writer, args []string) {
	for i := 2; i < len(args); i++ {
		if strings.EqualFold(args[i], "AUTH") && i+2 < len(args) {
			if args[i+1] != s.expectedUser() || args[i+2] != s.password {
				w.raw("-WRONGPASS invalid username-password pair or user is disabled.\r\n")
				return
			}
			me.authenticated = true
			i += 2
		}
	}
	if s.password != "" && !me.authenticated {
		w.raw("-NOAUTH HELLO must be called with the client already authenticated\r\n")
		return
	}
	if len(args) > 1 {
		if args[1] != "2" && args[1] != "3" {
			w.raw("-NOPROTO unsupported protocol version\r\n")
			return
		}
		me.resp3 = args[1] == "3"
	}
	pairs := []string{"server", "redis", "version", "7.0.0", "mode", "standalone", "role", "master"}
	if me.resp3 {
		w.raw("%" + strconv.Itoa(len(pairs)/2+1) + "\r\n")
	} else {
		w.array(len(pairs) + 2)
	}
	for _, p := range pairs {
		w.bulk(p)
	}
	w.bulk("proto")
	w.integer(map[bool]int64{false: 2, true: 3}[me.resp3])
}

func (s *Server) expectedUser() string {
	if s.username == "" {
		return "default"
	}
	return s.username
}

func auth(s *Server, me *session, w *writer, args []string) {
	user := "default"
	if len(args) == 3 {
		user = args[1]
	}
	if user != s.expectedUser() || args[len(args)-1] != s.password {
		w.raw("-WRONGPASS invalid username-password pair or user is disabled.\r\n")
		return
	}
	me.authenticated = true
	w.ok()
}

func selectDatabase(_ *Server, me *session, w *writer, args []string) {
	n, err := strconv.Atoi(args[1])
	if err != nil || n < 0 || n > 15 {
		w.raw("-ERR DB index is out of range\r\n")
		return
	}
	me.database = n
	w.ok()
}

func serverTime(_ *Server, _ *session, w *writer, _ []string) {
	now := time.Now().Add(w.fault.ClockSkew)
	skewless := *w
	skewless.fault = Fault{}
	skewless.array(2)
	skewless.bulk(strconv.FormatInt(now.Unix(), 10))
	skewless.bulk(strconv.Itoa(now.Nanosecond() / 1000))
	w.out = skewless.out
}

func get(s *Server, me *session, w *writer, args []string) {
	if v, there, fits := s.lookup(me, args[1], isText, w); fits {
		if there {
			w.bulk(v.text)
		} else {
			w.null()
		}
	}
}

func mget(s *Server, me *session, w *writer, args []string) {
	w.array(len(args) - 1)
	for _, k := range args[1:] {
		quiet := &writer{}
		if v, there, fits := s.lookup(me, k, isText, quiet); there && fits {
			w.bulk(v.text)
		} else {
			w.null()
		}
	}
}

func set(s *Server, me *session, w *writer, args []string) {
	v := value{text: args[2]}
	for i := 3; i < len(args); i += 2 {
		unit := map[string]time.Duration{"PX": time.Millisecond, "EX": time.Second}[strings.ToUpper(args[i])]
		if unit == 0 || i+1 >= len(args) {
			w.errorReply(syntax)
			return
		}
		n, err := strconv.ParseInt(args[i+1], 10, 40)
		if err != nil || n <= 0 {
			w.errorReply("-ERR invalid expire time in 'set' command\r\n")
			return
		}
		v.expiresAt = time.Now().Add(time.Duration(n) * unit)
	}
	s.data[me.key(args[1])] = v
	w.ok()
}

func del(s *Server, me *session, w *writer, args []string) {
	n := int64(0)
	for _, k := range args[1:] {
		if _, there := s.data[me.key(k)]; there {
			delete(s.data, me.key(k))
			n++
		}
	}
	w.integer(n)
}

func incrBy(s *Server, me *session, w *writer, args []string) {
	by, err := strconv.ParseInt(args[2], 10, 64)
	if err != nil {
		w.errorReply(notInt)
		return
	}
	v, there, fits := s.lookup(me, args[1], isText, w)
	if !fits {
		return
	}
	n := int64(0)
	if there {
		if n, err = strconv.ParseInt(v.text, 10, 64); err != nil {
			w.errorReply(notInt)
			return
		}
	}
	v.text = strconv.FormatInt(n+by, 10)
	s.data[me.key(args[1])] = v
	w.integer(n + by)
}

func pexpire(s *Server, me *session, w *writer, args []string) {
	n, err := strconv.ParseInt(args[2], 10, 40)
	if err != nil {
		w.errorReply(notInt)
		return
	}
	v, there, _ := s.lookup(me, args[1], func(value) bool { return true }, w)
	if !there {
		w.integer(0)
		return
	}
	v.expiresAt = time.Now().Add(time.Duration(n) * time.Millisecond)
	s.data[me.key(args[1])] = v
	w.integer(1)
}

func pttl(s *Server, me *session, w *writer, args []string) {
	v, there, _ := s.lookup(me, args[1], func(value) bool { return true }, w)
	switch {
	case !there:
		w.integer(-2)
	case v.expiresAt.IsZero():
		w.integer(-1)
	default:
		w.integer(time.Until(v.expiresAt).Milliseconds())
	}
}

func zadd(s *Server, me *session, w *writer, args []string) {
	score, err := strconv.ParseFloat(args[2], 64)
	if err != nil {
		w.errorReply("-ERR value is not a valid float\r\n")
		return
	}
	v, there, fits := s.lookup(me, args[1], isScores, w)
	if !fits {
		return
	}
	if !there {
		v = value{scores: map[string]float64{}}
	}
	_, old := v.scores[args[3]]
	v.scores[args[3]] = score
	s.data[me.key(args[1])] = v
	w.integer(map[bool]int64{true: 0, false: 1}[old])
}

// scoreRange reads a score's bound; an opening bracket leaves the bound itself out.
func scoreRange(low, high string) (func(float64) bool, bool) {
	read := func(s string) (x float64, open, ok bool) {
		s, open = strings.CutPrefix(s, "(")
		x, err := strconv.ParseFloat(s, 64)
		return x, open, err == nil
	}
	a, openA, okA := read(low)
	b, openB, okB := read(high)
	return func(x float64) bool { return (x > a || x == a && !openA) && (x < b || x == b && !openB) }, okA && okB
}

func zcount(s *Server, me *session, w *writer, args []string) {
	inside, ok := scoreRange(args[2], args[3])
	if !ok {
		w.errorReply("-ERR min or max is not a float\r\n")
		return
	}
	if v, _, fits := s.lookup(me, args[1], isScores, w); fits {
		n := int64(0)
		for _, x := range v.scores {
			if inside(x) {
				n++
			}
		}
		w.integer(n)
	}
}

func zremRangeByScore(s *Server, me *session, w *writer, args []string) {
	inside, ok := scoreRange(args[2], args[3])
	if !ok {
		w.errorReply("-ERR min or max is not a float\r\n")
		return
	}
	if v, _, fits := s.lookup(me, args[1], isScores, w); fits {
		was := len(v.scores)
		maps.DeleteFunc(v.scores, func(_ string, x float64) bool { return inside(x) })
		if len(v.scores) == 0 {
			delete(s.data, me.key(args[1]))
		}
		w.integer(int64(was - len(v.scores)))
	}
}

func hset(s *Server, me *session, w *writer, args []string) {
	v, there, fits := s.lookup(me, args[1], isHash, w)
	if !fits {
		return
	}
	if !there {
		v = value{hash: map[string]string{}}
	}
	_, old := v.hash[args[2]]
	v.hash[args[2]] = args[3]
	s.data[me.key(args[1])] = v
	w.integer(map[bool]int64{true: 0, false: 1}[old])
}

func hdel(s *Server, me *session, w *writer, args []string) {
	v, _, fits := s.lookup(me, args[1], isHash, w)
	if !fits {
		return
	}
	n := int64(0)
	for _, field := range args[2:] {
		if _, there := v.hash[field]; there {
			delete(v.hash, field)
			n++
		}
	}
	if len(v.hash) == 0 {
		delete(s.data, me.key(args[1]))
	}
	w.integer(n)
}

func hlen(s *Server, me *session, w *writer, args []string) {
	if v, _, fits := s.lookup(me, args[1], isHash, w); fits {
		w.integer(int64(len(v.hash)))
	}
}

// hrandField gives distinct fields by chance, with their values.
func hrandField(s *Server, me *session, w *writer, args []string) {
	n, err := strconv.Atoi(args[2])
	if err != nil || n < 0 || !strings.EqualFold(args[3], "WITHVALUES") {
		w.errorReply(syntax)
		return
	}
	v, _, fits := s.lookup(me, args[1], isHash, w)
	if !fits {
		return
	}
	fields := slices.Sorted(maps.Keys(v.hash))
	rand.Shuffle(len(fields), func(i, j int) { fields[i], fields[j] = fields[j], fields[i] })
	fields = fields[:min(n, len(fields))]
	if w.resp3 {
		w.array(len(fields))
	} else {
		w.array(2 * len(fields))
	}
	for _, f := range fields {
		if w.resp3 {
			w.array(2)
		}
		named := *w
		named.fault.CorruptBulk, named.fault.BulkLength = false, 0
		named.bulk(f)
		w.out = named.out
		w.bulk(v.hash[f])
	}
}
