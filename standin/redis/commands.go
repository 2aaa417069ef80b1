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
	expiresAt time.Time // time at which the key expires; zero if it does not
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

// ensureData creates the table of a new or cleared server.
func (s *Server) ensureData() {
	if s.data == nil {
		s.data = map[string]value{}
	}
}

// execute returns the encoded reply to a command. It executes the command unless the reply is that of a fault or an error.
func (s *Server) execute(client *session, f Fault, args []string) []byte {
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
	case !greeting && s.password != "" && !client.authenticated:
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
	w := &writer{resp3: client.resp3, fault: f}
	if greeting {
		w.fault = Fault{}
	}
	c.run(s, client, w, args)
	return w.out
}

// CommandCount returns how often the server has handled a command, not counting DropCommands; name is in capitals.
func (s *Server) CommandCount(name string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.countByName[name]
}

// writer encodes a reply, changed as the fault demands.
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

// command is the implementation of a command and the number of arguments that it takes.
type command struct {
	minArgs, maxArgs int // arguments, the command's name included; maxArgs is 0 for no limit
	run              func(s *Server, client *session, w *writer, args []string)
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

// key returns the key under which the data table holds k of the session's database.
func (client *session) key(k string) string {
	if client.database == 0 {
		return k
	}
	return strconv.Itoa(client.database) + "\x00" + k
}

// lookup returns a key's value. exists reports whether the key exists and has not expired, and typeOK whether isType accepts its
// value; if not, lookup has written the error reply.
func (s *Server) lookup(client *session, k string, isType func(value) bool, w *writer) (v value, exists, typeOK bool) {
	k = client.key(k)
	v, exists = s.data[k]
	if exists && v.expired(time.Now()) {
		delete(s.data, k)
		v, exists = value{}, false
	}
	if exists && !isType(v) {
		w.errorReply(wrongType)
		return v, true, false
	}
	return v, exists, true
}

func isText(v value) bool   { return v.hash == nil && v.scores == nil }
func isHash(v value) bool   { return v.hash != nil }
func isScores(v value) bool { return v.scores != nil }

func hello(s *Server, client *session, w *writer, args []string) {
	for i := 2; i < len(args); i++ {
		if strings.EqualFold(args[i], "AUTH") && i+2 < len(args) {
			if args[i+1] != s.expectedUser() || args[i+2] != s.password {
				w.raw("-WRONGPASS invalid username-password pair or user is disabled.\r\n")
				return
			}
			client.authenticated = true
			i += 2
		}
	}
	if s.password != "" && !client.authenticated {
		w.raw("-NOAUTH HELLO must be called with the client already authenticated\r\n")
		return
	}
	if len(args) > 1 {
		if args[1] != "2" && args[1] != "3" {
			w.raw("-NOPROTO unsupported protocol version\r\n")
			return
		}
		client.resp3 = args[1] == "3"
	}
	pairs := []string{"server", "redis", "version", "7.0.0", "mode", "standalone", "role", "master"}
	if client.resp3 {
		w.raw("%" + strconv.Itoa(len(pairs)/2+1) + "\r\n")
	} else {
		w.array(len(pairs) + 2)
	}
	for _, p := range pairs {
		w.bulk(p)
	}
	w.bulk("proto")
	w.integer(map[bool]int64{false: 2, true: 3}[client.resp3])
}

func (s *Server) expectedUser() string {
	if s.username == "" {
		return "default"
	}
	return s.username
}

func auth(s *Server, client *session, w *writer, args []string) {
	user := "default"
	if len(args) == 3 {
		user = args[1]
	}
	if user != s.expectedUser() || args[len(args)-1] != s.password {
		w.raw("-WRONGPASS invalid username-password pair or user is disabled.\r\n")
		return
	}
	client.authenticated = true
	w.ok()
}

func selectDatabase(_ *Server, client *session, w *writer, args []string) {
	n, err := strconv.Atoi(args[1])
	if err != nil || n < 0 || n > 15 {
		w.raw("-ERR DB index is out of range\r\n")
		return
	}
	client.database = n
	w.ok()
}

func serverTime(_ *Server, _ *session, w *writer, _ []string) {
	now := time.Now().Add(w.fault.ClockSkew)
	faultless := *w
	faultless.fault = Fault{}
	faultless.array(2)
	faultless.bulk(strconv.FormatInt(now.Unix(), 10))
	faultless.bulk(strconv.Itoa(now.Nanosecond() / 1000))
	w.out = faultless.out
}

func get(s *Server, client *session, w *writer, args []string) {
	if v, exists, typeOK := s.lookup(client, args[1], isText, w); typeOK {
		if exists {
			w.bulk(v.text)
		} else {
			w.null()
		}
	}
}

func mget(s *Server, client *session, w *writer, args []string) {
	w.array(len(args) - 1)
	for _, k := range args[1:] {
		discarded := &writer{}
		if v, exists, typeOK := s.lookup(client, k, isText, discarded); exists && typeOK {
			w.bulk(v.text)
		} else {
			w.null()
		}
	}
}

func set(s *Server, client *session, w *writer, args []string) {
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
	s.data[client.key(args[1])] = v
	w.ok()
}

func del(s *Server, client *session, w *writer, args []string) {
	n := int64(0)
	for _, k := range args[1:] {
		if _, exists := s.data[client.key(k)]; exists {
			delete(s.data, client.key(k))
			n++
		}
	}
	w.integer(n)
}

func incrBy(s *Server, client *session, w *writer, args []string) {
	by, err := strconv.ParseInt(args[2], 10, 64)
	if err != nil {
		w.errorReply(notInt)
		return
	}
	v, exists, typeOK := s.lookup(client, args[1], isText, w)
	if !typeOK {
		return
	}
	n := int64(0)
	if exists {
		if n, err = strconv.ParseInt(v.text, 10, 64); err != nil {
			w.errorReply(notInt)
			return
		}
	}
	v.text = strconv.FormatInt(n+by, 10)
	s.data[client.key(args[1])] = v
	w.integer(n + by)
}

func pexpire(s *Server, client *session, w *writer, args []string) {
	n, err := strconv.ParseInt(args[2], 10, 40)
	if err != nil {
		w.errorReply(notInt)
		return
	}
	v, exists, _ := s.lookup(client, args[1], func(value) bool { return true }, w)
	if !exists {
		w.integer(0)
		return
	}
	v.expiresAt = time.Now().Add(time.Duration(n) * time.Millisecond)
	s.data[client.key(args[1])] = v
	w.integer(1)
}

func pttl(s *Server, client *session, w *writer, args []string) {
	v, exists, _ := s.lookup(client, args[1], func(value) bool { return true }, w)
	switch {
	case !exists:
		w.integer(-2)
	case v.expiresAt.IsZero():
		w.integer(-1)
	default:
		w.integer(time.Until(v.expiresAt).Milliseconds())
	}
}

func zadd(s *Server, client *session, w *writer, args []string) {
	score, err := strconv.ParseFloat(args[2], 64)
	if err != nil {
		w.errorReply("-ERR value is not a valid float\r\n")
		return
	}
	v, exists, typeOK := s.lookup(client, args[1], isScores, w)
	if !typeOK {
		return
	}
	if !exists {
		v = value{scores: map[string]float64{}}
	}
	_, old := v.scores[args[3]]
	v.scores[args[3]] = score
	s.data[client.key(args[1])] = v
	w.integer(map[bool]int64{true: 0, false: 1}[old])
}

// scoreRange parses the bounds of a range of scores and returns its predicate; an opening bracket excludes the bound. The second
// result is false if a bound is not a number.
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

func zcount(s *Server, client *session, w *writer, args []string) {
	inside, ok := scoreRange(args[2], args[3])
	if !ok {
		w.errorReply("-ERR min or max is not a float\r\n")
		return
	}
	if v, _, typeOK := s.lookup(client, args[1], isScores, w); typeOK {
		n := int64(0)
		for _, x := range v.scores {
			if inside(x) {
				n++
			}
		}
		w.integer(n)
	}
}

func zremRangeByScore(s *Server, client *session, w *writer, args []string) {
	inside, ok := scoreRange(args[2], args[3])
	if !ok {
		w.errorReply("-ERR min or max is not a float\r\n")
		return
	}
	if v, _, typeOK := s.lookup(client, args[1], isScores, w); typeOK {
		was := len(v.scores)
		maps.DeleteFunc(v.scores, func(_ string, x float64) bool { return inside(x) })
		if len(v.scores) == 0 {
			delete(s.data, client.key(args[1]))
		}
		w.integer(int64(was - len(v.scores)))
	}
}

func hset(s *Server, client *session, w *writer, args []string) {
	v, exists, typeOK := s.lookup(client, args[1], isHash, w)
	if !typeOK {
		return
	}
	if !exists {
		v = value{hash: map[string]string{}}
	}
	_, old := v.hash[args[2]]
	v.hash[args[2]] = args[3]
	s.data[client.key(args[1])] = v
	w.integer(map[bool]int64{true: 0, false: 1}[old])
}

func hdel(s *Server, client *session, w *writer, args []string) {
	v, _, typeOK := s.lookup(client, args[1], isHash, w)
	if !typeOK {
		return
	}
	n := int64(0)
	for _, field := range args[2:] {
		if _, exists := v.hash[field]; exists {
			delete(v.hash, field)
			n++
		}
	}
	if len(v.hash) == 0 {
		delete(s.data, client.key(args[1]))
	}
	w.integer(n)
}

func hlen(s *Server, client *session, w *writer, args []string) {
	if v, _, typeOK := s.lookup(client, args[1], isHash, w); typeOK {
		w.integer(int64(len(v.hash)))
	}
}

// hrandField replies with distinct random fields and their values.
func hrandField(s *Server, client *session, w *writer, args []string) {
	n, err := strconv.Atoi(args[2])
	if err != nil || n < 0 || !strings.EqualFold(args[3], "WITHVALUES") {
		w.errorReply(syntax)
		return
	}
	v, _, typeOK := s.lookup(client, args[1], isHash, w)
	if !typeOK {
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
