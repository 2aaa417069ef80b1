package rules

import "willowsill/lab/modelcheck/planted"

// Files and packages that several rules name.
const (
	connectionFile         = "transport/replicahttp/connection.go"
	clienthttpFile         = "front/clienthttp/clienthttp.go"
	serverFile             = "front/clienthttp/server.go"
	proxyserverFile        = "front/proxyserver/proxyserver.go"
	routingtableFile       = "decide/routingtable/routingtable.go"
	routeconfigFile        = "decide/routeconfig/routeconfig.go"
	weightedsplitFile      = "decide/weightedsplit/weightedsplit.go"
	gatherFile             = "decide/gather/gather.go"
	balanceFile            = "balance/balance.go"
	retryFile              = "balance/retry.go"
	admissionFile          = "balance/admission.go"
	replicasFile           = "balance/replicastate.go"
	sendFile               = "node/send.go"
	lendingFile            = "decide/lending/lending.go"
	accountFile            = "decide/lending/account.go"
	lendingPackage         = "decide/lending"
	admitFile              = "node/admit.go"
	controllerFile         = "decide/controller/controller.go"
	callersFile            = "decide/controller/callers.go"
	ordersFile             = "decide/controller/orders.go"
	diskFile               = "decide/controller/disk.go"
	contactFile            = "decide/controller/contact.go"
	departuresFile         = "decide/controller/departures.go"
	leavingFile            = "decide/controller/leaving.go"
	heartbeattargetFile    = "decide/controller/heartbeattarget.go"
	groupsFile             = "decide/controller/groups.go"
	groupFile              = "decide/registry/group.go"
	selectionFile          = "decide/clusterstate/selection.go"
	formationFile          = "decide/register/formation.go"
	joinerFile             = "decide/register/joiner.go"
	joiningFile            = "decide/controller/joining.go"
	earlySignalsFile       = "transport/signals/early/ignore.c"
	limitsFile             = "transport/daemon/limits.go"
	registerPackage        = "decide/register"
	proposerFile           = "decide/register/proposer.go"
	registerFile           = "decide/register/register.go"
	registryFile           = "decide/registry/registry.go"
	clusterstateFile       = "decide/clusterstate/clusterstate.go"
	followerFile           = "decide/follower/follower.go"
	readinessFile          = "decide/follower/readiness.go"
	statestoreFile         = "transport/statestore/statestore.go"
	bodyFile               = "front/clienthttp/body.go"
	boundedreadFile        = "transport/boundedread/boundedread.go"
	budgetFile             = "transport/boundedread/budget.go"
	headFile               = "transport/boundedread/head.go"
	memoryshareFile        = "decide/memoryshare/memoryshare.go"
	memoryplanFile         = "deployment/memoryplan/memoryplan.go"
	reconnectFile          = "decide/reconnect/reconnect.go"
	gateFile               = "transport/replicahttp/gate.go"
	poolFile               = "transport/replicahttp/replicahttp.go"
	peerFile               = "transport/peer/peer.go"
	startFile              = "transport/daemon/start.go"
	optionsFile            = "transport/peer/options.go"
	signalsFile            = "transport/signals/signals.go"
	transientFile          = "decide/transient/transient.go"
	transientPackage       = "decide/transient"
	listenFile             = "transport/listen/listen.go"
	figureFile             = "deployment/settings/figure.go"
	statefileFile          = "transport/controlserver/statefile.go"
	resourcesFile          = "transport/controlserver/resources.go"
	rolloutFile            = "decide/rollout/rollout.go"
	rolloutSetFile         = "decide/rollout/set.go"
	detectorFile           = "decide/rollout/detector.go"
	managerFile            = "decide/rollout/manager.go"
	planFile               = "decide/rollout/plan.go"
	controllerRolloutsFile = "decide/controller/rollouts.go"
	tableRolloutsFile      = "decide/routingtable/rollouts.go"
	rolloutPackage         = "decide/rollout"
	controlsimPackage      = "lab/controlsim"
	replicahttpPackage     = "transport/replicahttp"
	clienthttpPackage      = "front/clienthttp"
	proxyserverPackage     = "front/proxyserver"
	routingtablePackage    = "decide/routingtable"
	balancePackage         = "balance"
	controllerPackage      = "decide/controller"
)

func mutation(pkg, test string, edits ...planted.Edit) Mutation {
	return Mutation{Edits: edits, Package: pkg, Test: test}
}

// All lists the rules in force, in the order of the operators' pages.
var All = []Rule{
	// Requests and answers.
	{"MIXED: seal", "a success is returned without the replica's seal", "an answer without a seal counts as a failure", files(connectionFile), scenarios("any", "garble"),
		mutation(replicahttpPackage, "TestWaysToEnd", edit(connectionFile, `case a.Status >= 200 && a.Status < 300 && a.Seal != "" &&`, `case a.Status >= 200 && a.Status < 300 &&`))},
	{"MIXED: another's answer", "a client gets the answer to another request", "a connection carries one request at a time, and the attempt id is compared", files(connectionFile), scenarios("garble extra", "garble extra late", "idle_race"),
		mutation(replicahttpPackage, "TestSurplusAnswers", edit(connectionFile, "if answer.attempt != req.Attempt {", "if false {"))},
	{"MIXED: two answers in one", "the body contains another answer after the replica's own", "a body whose end is the end of the connection is rejected if it contains the first line of an answer", files(connectionFile), scenarios("garble unframed", "garble extra"),
		mutation(replicahttpPackage, "TestAnswerOfNobody", edit(connectionFile, "if endsAtClose(res) && bytes.Contains(body, []byte(statusLineStart)) {", "if bytes.Contains(body, []byte(statusLineStart)) && false {"))},
	{"MIXED: broken off", "an answer that was cut short or reset looks complete", "the body is read completely: by its length, by chunks, or until the connection ends without an error", files(connectionFile), scenarios("garble", "garble unframed", "srv_crash", "reset_conns"),
		mutation(proxyserverPackage, "TestReplicaConnections/no length, reset, unsafe true, reused false", edit(connectionFile, "	return boundedread.AtMost(res.Body, maxBodyBytes, account)\n", "	body, _ := boundedread.AtMost(res.Body, maxBodyBytes, account)\n	return body, nil\n"))},
	{"MIXED: failure", "a failure has a replica's seal but another status than the replica sent", "a replica's failure is forwarded unchanged, and own failures have no header of a replica", files(clienthttpFile), scenarios("srv_grey errors", "garble"),
		mutation(clienthttpPackage, "TestRefusals", edit(clienthttpFile, "	w.WriteHeader(got.Status)\n	w.Write(got.Body)\n", "	w.WriteHeader(max(got.Status, http.StatusBadGateway))\n	w.Write(got.Body)\n"))},
	{"MIXED: nobody asked", "an answer without a request is sent: a success for a client that has disconnected", "a query without an answer ends with 502 and closes the connection", files(clienthttpFile), scenarios("retry_abuse", "node_freeze"),
		mutation(clienthttpPackage, "TestClientLeaves", edit(clienthttpFile, "		w.Header().Set(\"Connection\", \"close\")\n		refuse(w, http.StatusBadGateway, 0)\n		return\n	}\n	draw", "		return\n	}\n	draw"))},
	{"MIXED: parts", "Willowsill-Part-Seals names a seal that is not from a successful answer to this request", "only successes among the parts that the decision module counts are listed", files(clienthttpFile), scenarios("garble", "srv_grey errors"),
		mutation(clienthttpPackage, "TestGatheredAnswer", edit(clienthttpFile, "got != nil && got.Status/100 == 2 {", "got != nil {"), edit(clienthttpFile, "for _, v := range a.Values {\n		if got := req.Answers[v.Shard];", "for shard := range req.Answers {\n		v := node.Value{Shard: shard}\n		if got := req.Answers[v.Shard];"))},
	{"MIXED: missing parts", "the listed parts and Willowsill-Missing-Parts together are not the full set", "the missing parts are counted from the parts of the query", files(clienthttpFile), scenarios("srv_crash all", "srv_slow across"),
		mutation(clienthttpPackage, "TestGatheredAnswer", edit(clienthttpFile, "missing := len(parts) - len(seals); missing > 0", "missing := len(parts) - len(seals); missing > 1"))},
	{"MIXED: one configuration", "the parts belong to different configurations, or the minimum coverage is another configuration's", "a query keeps the shards and settings with which it was accepted", files(balanceFile, clienthttpFile), scenarios("reshard", "config_change", "config_storm"),
		mutation(proxyserverPackage, "TestOneConfigurationAnAnswer", edit(balanceFile, "next := *a.workloads[i] //", "next := a.workloads[i] //"), edit(balanceFile, "a.minGoal = w, &next, min(", "a.minGoal = w, next, min("))},
	{"MIXED: coverage", "an answer has less than min-coverage of the shards", "the minimum coverage of the route's workload", files(routingtableFile, admissionFile), scenarios("srv_crash all", "srv_crash across"),
		mutation(proxyserverPackage, "TestLeastCoverage", edit(routingtableFile, "w.MinCoverage = min(max(r.MinCoverage, 1/float64(len(r.Fanout))), 1)", "w.MinCoverage = 1 / float64(len(r.Fanout))"))},
	{"MIXED: greatest records", "the body is not the greatest records of the listed parts in descending order", "the merge keeps the greatest records", files(gatherFile), scenarios("any"),
		mutation("decide/gather", "TestGreatest", edit(gatherFile, "return bytes.Compare(b, a)", "return bytes.Compare(a, b)"))},
	{"UNASKED: unchanged", "a replica runs a request whose method, path, query or body was changed", "the request line and headers are forwarded unchanged", files(clienthttpFile), scenarios("any"),
		mutation(clienthttpPackage, "TestWhatReplicasGet", edit(clienthttpFile, "target := r.RequestURI", "target := r.URL.Path"))},
	{"UNASKED: smuggled", "a replica runs a request that was smuggled inside another one", "net/http parses heads and bodies, and an incomplete request is never forwarded", files(clienthttpFile), scenarios("any"),
		mutation(clienthttpPackage, "TestClientConnections", edit(clienthttpFile, `if attempt == "" || len(r.Header[replicahttp.HeaderAttempt]) > 1 {`, `if attempt == "" {`))},
	{"UNASKED: rest of a body", "a replica that answers before a long body is complete gets other bytes in its place", "writes are sequential, and a failed one closes the connection before anything else is written", files(connectionFile), scenarios("garble early"),
		mutation(replicahttpPackage, "TestAnsweredBeforeItIsWritten", edit(connectionFile, "		c.end(e, notice{conn: c, result: failedWrite(n), err: err})\n		c.conn.Close()\n", "		c.end(e, notice{conn: c, result: failedWrite(n), err: err})\n"))},
	{"TWICE: unsafe", "a request that is not repeatable runs more than once", "unsafe routes are once-only, with a single execution", files(routingtableFile, retryFile), scenarios("answer_lost", "reset_conns", "srv_grey reset"),
		mutation(proxyserverPackage, "TestReplicaConnections/closed after the request, unsafe true, reused false", edit(routingtableFile, "w.RetrySafety, w.MaxExecutions = balance.OnceOnly, 1", "w.RetrySafety, w.MaxExecutions = balance.Repeatable, 2"))},
	{"TWICE: terms", "a request that is not repeatable runs more than once after a configuration has given the route's row to another route", "queries keep the settings with which they were accepted", files(balanceFile), scenarios("config_change route", "big_config"),
		mutation(balancePackage, "TestScenarios/once-row", edit(balanceFile, "next := *a.workloads[i] //", "next := a.workloads[i] //"), edit(balanceFile, "a.minGoal = w, &next, min(", "a.minGoal = w, next, min("))},
	{"TWICE: rows", "a request that is not repeatable runs more than once because its route's row was reused while its body was read", "a row stays unused for a minute before another route gets it", files(routingtableFile), scenarios("config_change route", "big_config"),
		mutation(routingtablePackage, "TestRowsRest", edit(routingtableFile, "len(t.freeRows) > 0 && now-t.freeRows[0].since >= reuseDelay {", "len(t.freeRows) > 0 {"))},
	{"TWICE: names", "a request that is not repeatable runs more than once because a safe route has the same name as its route", "routes are identified by host and prefix, which are unique", files(routeconfigFile, routingtableFile, clienthttpFile), scenarios("answer_lost", "big_config"),
		mutation("front/clienthttp", "TestRoutesOfOneName", edit(routeconfigFile, "return RouteID{strings.ToLower(r.Host), r.Prefix}", "return RouteID{Host: r.Name}"),
			edit(routeconfigFile, "if other, ok := seen[r.ID()]; ok {", "if other, ok := seen[RouteID{r.Host, r.Prefix}]; ok {"))},
	{"REFUSED: proof", "429, 503, 408 or 421 is returned for a request that has run or will run", "a request counts as not run only with a proof from the replica", files(connectionFile), scenarios("srv_grey shed", "srv_grey busy", "garble"),
		mutation(replicahttpPackage, "TestOnlyAProofSaysNotRun", edit(connectionFile, "return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusBadRequest", "return true"))},
	{"REFUSED: a replica's 503", "a replica's own 503 without a proof is forwarded, which promises that nothing ran", "it is returned as 502", files(clienthttpFile), scenarios("srv_grey busy"),
		mutation(proxyserverPackage, "TestReplicaConnections/503 of its own, unsafe true, reused false", edit(clienthttpFile, "got.Status == http.StatusServiceUnavailable && final != balance.Declined", "false"))},
	{"REFUSED: declines", "a query is declined, which promises that nothing ran, though a part may have run", "once-only queries with such a part are forfeited instead", files(admissionFile), scenarios("answer_lost", "srv_crash"),
		mutation(balancePackage, "TestScenarios/once-only", edit(admissionFile, "if ran && q.workload.RetrySafety != Repeatable {", "if false && ran {"))},
	{"DENIED", "a machine returns its own 404 or another 4xx for a request that the configuration allows, or something other than 503 before it has one", "requests get 503 until there is a configuration", files(clienthttpFile), scenarios("herd_kill", "power_off_all", "roll_term"),
		mutation(clienthttpPackage, "TestRefusals", edit(clienthttpFile, "	if state == nil {\n		refuse(w, http.StatusServiceUnavailable, int64(time.Second))", "	if state == nil {\n		refuse(w, http.StatusNotFound, int64(time.Second))"))},
	{"ROUTE: prefix", "a request goes to a service that its route does not name", "the longest matching prefix of the host is used", files(routeconfigFile), scenarios("config_change route", "big_config"),
		mutation("decide/routeconfig", "TestReadAndFind", edit(routeconfigFile, "return len(b.Prefix) - len(a.Prefix)", "return len(a.Prefix) - len(b.Prefix)"))},
	{"ROUTE: reused address", "a replica of another service that reuses the address of a removed one runs a request", "every request names its replica in Willowsill-Target-Replica", files(connectionFile), scenarios("replace_with_reuse"),
		mutation(replicahttpPackage, "TestPartAndAnswer", edit(connectionFile, "	buf = append(buf, c.destination.id...)\n", ""))},
	{"ROUTE: 421", "a request that another replica rejected at this address is lost", "421 proves that nothing ran, so the part is sent to another replica", files(connectionFile), scenarios("replace_with_reuse"),
		mutation(replicahttpPackage, "TestWaysToEnd", edit(connectionFile, "		return balance.ConnectFailed // another replica has the address\n", "		return balance.Errored\n"))},
	{"ROUTE: shards", "a part that waits, or whose request is still being read, is sent to the service that has reused its shard", "a shard stays unused for a minute before another service gets it", files(routingtableFile), scenarios("reshard", "config_change route", "replace_with_reuse"),
		mutation(routingtablePackage, "TestShardsRest", edit(routingtableFile, "if s := &t.shards[number]; !s.used && (s.freeSince == 0 || now-s.freeSince >= reuseDelay) {", "if s := &t.shards[number]; !s.used {"))},
	{"ROUTE: services without a place", "a request goes to another service's replicas because its own service has no shard", "a service without a shard uses no other service's; its requests get 503", files(routingtableFile, clienthttpFile), scenarios("big_config", "reshard"),
		mutation(clienthttpPackage, "TestServiceWithoutAShard", edit(clienthttpFile, "		if !found {\n			return nil, false\n		}\n", "		_ = found\n"))},

	// Drains and shutdowns.
	{"DRAIN: acknowledged", "any machine sends a request to a replica later than drain-ms after its drain was acknowledged", "a drain is acknowledged only when it is on the disks of a majority", files(callersFile, departuresFile), scenarios("scale_in", "release", "core_cut lure", "node_kill leader race drain"),
		mutation(controlsimPackage, "TestWorse/departures", edit(callersFile, "if r.Phase == registry.Ready {\n		c.effects", "if true {\n		c.effects"))},
	{"DRAIN: late words", "a heartbeat that arrives seconds late makes a draining replica ready again", "a draining or departed replica never becomes ready again", files(registryFile), scenarios("scale_in", "release"),
		mutation(controlsimPackage, "TestWorse/departures", edit(registryFile, "if o.Phase == Gone || o.Phase == Draining && r.Phase == Ready {", "if o.Phase == Draining && r.Phase == Ready {"))},
	{"DRAIN: missed", "a controller that was isolated when a replica drained still reports it as ready to edges", "each heartbeat has a checksum of the leaving replicas; if it differs, the records are requested", files(leavingFile, "decide/registry/leaving.go"), scenarios("core_cut", "scale_in", "release"),
		mutation(controllerPackage, "TestDepartureIsLearnedByOneThatMissedIt", edit(leavingFile, "if sum == c.replicas.LeavingSum() {", "if sum != 1 {"))},
	{"DRAIN: after a loss of power", "an acknowledged drain is forgotten", "a drain is acknowledged only after the list is saved", files(departuresFile), scenarios("herd_kill off", "power_off_all", "node_kill meet drain"),
		mutation(controllerPackage, "TestAcknowledgedDrainOutlivesPower", edit(departuresFile, "	return !unsaved && !saving\n", "	return !unsaved || !saving\n"))},
	{"DRAIN: services out of use", "an edge with a newer configuration than its upstream does not learn that a replica of a service drains", "drains and departures are sent to edges whether or not a configuration uses the service", files(selectionFile), scenarios("reshard", "scale_in", "core_cut behind"),
		mutation("decide/clusterstate", "TestLeaversAreToldWhateverIsUsed", edit(selectionFile, "return r.Phase == registry.Ready && !s.uses(r.Service)", "return !s.uses(r.Service)"))},
	{"DRAIN: no new sends", "an edge still sends new requests to a draining replica", "only replicas with the status Up are eligible", files(balanceFile), scenarios("scale_in", "release"),
		mutation(balancePackage, "TestScenarios/drain", edit(balanceFile, "= l.Status == Up, l.StartedAt", "= l.Status != Gone, l.StartedAt"))},
	{"DRAIN: readiness", "a proxy still reports that it is ready 4 s after SIGTERM", "a shutdown starts with the end of readiness", files(proxyserverFile), scenarios("roll_term", "roll_term busy"),
		mutation(proxyserverPackage, "TestLeavingInOrder", edit(proxyserverFile, "	s.leaving.Store(true)\n", ""))},
	{"LOST: under way at SIGTERM", "a request that was read gets no answer because of a planned restart", "the shutdown waits for requests in flight, within the grace period", files(proxyserverFile), scenarios("roll_term busy"),
		mutation(proxyserverPackage, "TestLeavingInOrder", edit(proxyserverFile, "server.Shutdown(wait)", "server.Close()"))},
	{"LOST: sent after SIGTERM", "requests that the platform still sends for a while after SIGTERM get no answer", "the listener stays open for a while, and each answer closes its connection", files(proxyserverFile), scenarios("roll_term", "scale_in"),
		mutation(proxyserverPackage, "TestLeavingInOrder", edit(proxyserverFile, "	time.Sleep(min(stayOpen, time.Until(deadline)/2))\n	front.Close()\n", "	front.Close()\n"))},
	{"LOST: signals", "SIGHUP or a second SIGTERM ends a process that is starting or shutting down", "the signal handlers are never removed", files(signalsFile), scenarios("hup", "roll_term"),
		mutation("transport/daemon", "TestSignalsWhileLeaving", edit(signalsFile, "	signal.Notify(reload, syscall.SIGHUP)\n", ""))},
	{"LOST: limits that change", "a new configuration closes connections with requests in flight", "an open connection keeps the server and the limits with which it was accepted", files(serverFile), scenarios("config_change idle", "config_storm"),
		mutation(proxyserverPackage, "TestKeptConnectionsOverAChange", edit(serverFile, "	s.limits = l\n", "	s.limits = l\n	for _, former := range s.all {\n		former.server.Close()\n	}\n"))},
	{"LOST: rested connections", "an idle connection is closed although a request arrives within four fifths of idle-timeout-ms", "idle connections are kept for the whole of idle-timeout-ms", files(serverFile), scenarios("config_change idle", "any"),
		mutation(proxyserverPackage, "TestRestedConnections", edit(serverFile, "IdleTimeout: idle,", "IdleTimeout: idle / 2,"))},

	// Configuration.
	{"CONFIG: in force", "a connected machine still uses an older version more than apply-ms after the acknowledgement", "freshness is passed down to every edge, which leaves an upstream that is not fresh", files(followerFile, contactFile), scenarios("core_cut", "core_cut one_way", "core_cut behind", "node_cut"),
		mutation(controlsimPackage, "TestDays/point1", edit(followerFile, "if f.alternatives == 0 || f.fresh(now) || now-f.connectedAt < stay {", "if stay > 0 {"))},
	{"CONFIG: never back", "a process goes back to an older version", "the highest revision wins, from any upstream", files(clusterstateFile), scenarios("core_cut behind", "core_cut both", "node_cut"),
		mutation("decide/clusterstate", "TestNeverBack", edit(clusterstateFile, "if update.Revision > s.Revision && len(update.Body)+len(update.Patch) > 0 {", "if update.Revision > 0 && len(update.Body)+len(update.Patch) > 0 {"))},
	{"CONFIG: invalid", "an invalid configuration is acknowledged or in force", "each field is parsed and checked before the configuration becomes an order", files(resourcesFile, routeconfigFile), scenarios("bad_config"),
		mutation("transport/controlserver", "TestInvalidOrders", edit(routeconfigFile, "	seen := map[RouteID]string{}\n", "	seen := map[RouteID]string{}\n	if len(c.Routes) > 0 {\n		return nil\n	}\n"))},
	{"CONFIG: two contents", "other content under an existing version is acknowledged, read or used", "the register's value records the orders with their checksums", files(ordersFile), scenarios("config_race", "bad_config same_version", "core_cut race"),
		mutation(controllerPackage, "TestLoserOfARaceStaysTheLoser", edit(ordersFile, "case known && sum != o.Sum:", "case known && sum != o.Sum && o.Revision > value.Revision:"))},
	{"CONFIG: refused, then a restart", "a refused content that an isolated controller had written to its disk is in force after that controller's restart", "the revision and the checksum of the committed content are saved and compared with the content on disk", files(controllerFile, ordersFile), scenarios("config_race", "core_cut race", "roll_term"),
		mutation(controllerPackage, "TestRefusedContentAfterRestart", edit(controllerFile, "ConfigurationOf(v) == options.CommittedConfiguration {", "v.Revision == options.CommittedConfiguration.Revision {"))},
	{"CONFIG: patches", "a patch is applied to another content of the same revision than the one it was made from", "each update has the checksum of the full content; if it differs, the full content is fetched", files(clusterstateFile), scenarios("config_race", "core_cut race", "config_storm"),
		mutation("decide/clusterstate", "TestPatchOfAnotherContent", edit(clusterstateFile, "ok = update.Sum == 0 || sum == update.Sum", "ok = true"))},
	{"CONFIG: sent again", "an acknowledged change that is sent again is refused", "the recorded orders are checked before the revision is compared", files(ordersFile), scenarios("ack_lost", "config_storm"),
		mutation(controllerPackage, "TestHundredsOfChanges", edit(ordersFile, "case known && sum != o.Sum:", "case known && sum != o.Sum || o.Revision < value.Revision:"))},
	{"CONFIG: reads", "any machine, connected or not, answers a read with an older version", "each read asks a majority", files(callersFile), scenarios("core_cut split", "core_cut behind", "node_kill reader power"),
		mutation(controlsimPackage, "TestWorse/halves", edit(callersFile, "	n, out := c.proposer.Edit(now, readOnlyEdit)\n", "	if c.committed.Revision > 0 {\n		c.answer(call, statusOK, c.committed.Body, \"\")\n		return c.takeEffects()\n	}\n	n, out := c.proposer.Edit(now, readOnlyEdit)\n"))},
	{"CONFIG: two halves", "a partition into halves leads to two contents under one revision", "a commit needs more than half of the members, and of the former members during a change", files(registerFile), scenarios("core_cut split", "core_cut split meet", "core_cut split race"),
		mutation(controlsimPackage, "TestWorse/halves", edit(registerFile, "return 2*n > len(members)", "return 2*n >= len(members)"))},
	{"CONFIG: deadline-ms", "a request without an answer at deadline-ms gets none within half a second", "a query ends at the earlier of the client's and the route's deadline", files(clienthttpFile, admissionFile), scenarios("srv_grey hang", "srv_crash dark", "srv_slow"),
		mutation(proxyserverPackage, "TestAnsweredByTheRoutesTime", edit(clienthttpFile, "deadline := arrived + route.DeadlineMs*millisecond", "deadline := arrived + 8*route.DeadlineMs*millisecond"))},
	{"CONFIG: weights", "the share of a part in 300 requests differs from its weight's share", "each split uses a low-discrepancy sequence", files(weightedsplitFile, routingtableFile), scenarios("config_change weights"),
		mutation("decide/weightedsplit", "TestSharesInEveryWindow", edit(weightedsplitFile, "float64(count)*goldenRatio", "float64(xxhash.Sum64([]byte{byte(count), byte(count >> 8)}))/hashRange"))},
	{"CONFIG: weights over changes", "the share of a part differs from its weight's share while configurations change quickly", "a split's sequence continues over changes", files(routingtableFile), scenarios("config_storm", "config_change weights"),
		mutation(routingtablePackage, "TestSplitGoesOn", edit(routingtableFile, "if splits[id] = t.splits[id]; splits[id] == nil {", "if splits[id] == nil {"))},
	{"CONFIG: routes added later", "routes that are added later are served less than a quarter as often as the first ones", "a workload without measurements starts with an estimate from its own latency goal", files(replicasFile), scenarios("big_config", "config_change route"),
		mutation(proxyserverPackage, "TestRoutesAddedLater", edit(replicasFile, "math.Log(float64(w.LatencyGoal)/priorShare)", "math.Log(float64(w.LatencyGoal)*priorShare)"))},

	// Retries.
	{"BUDGET: a service", "the retries of all machines together exceed ratio and slack in some window", "each shard has a budget over a period no longer than the window", files(retryFile), scenarios("srv_crash", "srv_grey", "retry_abuse"),
		mutation(balancePackage, "TestScenarios/budget", edit(retryFile, "a.SlackUsed(now, p.shard%len(a.retries))+1 <=", "a.SlackUsed(now, p.shard%len(a.retries)) <="))},
	{"BUDGET: all machines", "each machine spends the whole slack", "each edge has a share of the slack, and none in its first window", files(routingtableFile), scenarios("herd_kill", "add_nodes", "release"),
		mutation(routingtablePackage, "TestBudgetOfAll", edit(routingtableFile, "return retrySlackShare * float64(t.settings.Bounds.RetrySlack) / float64(t.edges)", "return retrySlackShare * float64(t.settings.Bounds.RetrySlack)"))},
	{"BUDGET: lent shares", "edges use more than the total because one uses its own share and another the same amount as a loan", "a lender gets its share back only after the borrower's use has left the window", files(accountFile, lendingFile), scenarios("srv_slow", "srv_crash across", "answer_lost"),
		mutation(lendingPackage, "TestSumHolds", edit(accountFile, "amount{reserved, now + a.timing.Loan + a.timing.Window}", "amount{reserved, now + a.timing.Loan}"))},
	{"BUDGET: a loan twice", "a loan that is delivered twice is used twice", "each request for a loan accepts one loan", files(lendingFile), scenarios("node_cut", "core_cut"),
		mutation(lendingPackage, "TestSumHolds", edit(lendingFile, "	delete(s.sent, loan.Answers)\n", ""))},
	{"BUDGET: lenders that restart", "an edge that lost its records in a restart uses what it has lent", "half of each share is never lent, and a new edge uses only that half", files(accountFile), scenarios("node_kill", "herd_kill", "roll_term"),
		mutation(lendingPackage, "TestSumHolds", edit(accountFile, "		own *= keepShare\n", ""))},
	{"BUDGET: max-tries", "a part runs at more replicas than max-tries", "max-tries bounds the executions of each part", files(routingtableFile, retryFile), scenarios("srv_grey errors", "garble"),
		mutation(proxyserverPackage, "TestTriesOfARoute", edit(routingtableFile, "MaxExecutions: r.Tries}", "MaxExecutions: r.Tries + 1}"))},
	{"BUDGET: time handed on", "a replica gets a longer deadline than the time that is left, also with a retry", "the deadline is computed from the time left when the request is sent", files(sendFile), scenarios("srv_grey", "srv_slow"),
		mutation(proxyserverPackage, "TestDeadlinesHandedOn", edit(sendFile, "wait := (s.Deadline - now) / waitUnit", "wait := (s.Deadline - q.arrivedAt) / waitUnit"))},
	{"BUDGET: the client's time", "the deadline sent to a replica is later than the client's", "the client's deadline bounds the query", files(clienthttpFile), scenarios("any"),
		mutation(proxyserverPackage, "TestDeadlinesHandedOn", edit(clienthttpFile, "deadline = min(deadline, arrived+n*millisecond)", "deadline = max(deadline, arrived+n*millisecond)"))},
	{"GONE: withdrawn", "replicas still work half a second after the client has disconnected", "the end of the client's connection ends its query and closes the connections of its executions", files(clienthttpFile, admitFile), scenarios("retry_abuse", "burst"),
		mutation(proxyserverPackage, "TestWithdrawnWhenTheClientLeaves", edit(clienthttpFile, "h.Core.Serve(r.Context(), query)", "h.Core.Serve(context.WithoutCancel(r.Context()), query)"))},
	{"GONE: no further sends", "requests reach a replica after their client has disconnected", "requests that are not written yet are withdrawn", files(admitFile), scenarios("retry_abuse", "srv_crash dark"),
		mutation("node", "TestNothingAfterTheAnswer", edit(admitFile, "if !e.ended && n.transport.Withdraw(e.ticket) {", "if !e.ended && false {"))},

	// Losses of machines and disks.
	{"LOST: acknowledged", "an acknowledged change no longer exists after the last fault", "answers are sent only after the sync", files(diskFile), scenarios("power_off_all", "wipe_after_ack", "after_ack_kill timed", "herd_kill taken all"),
		mutation(controlsimPackage, "TestWorse/dark", edit(diskFile, "	if after == 0 {\n", "	if after >= 0 {\n"))},
	{"LOST: empty disks", "a machine with an empty disk completes a majority that does not hold the acknowledged change", "it counts for a majority only after a majority of the others has answered it", files(joinerFile), scenarios("wipe_after_ack", "after_ack_wipe", "replace_core", "core_cut behind"),
		mutation(controlsimPackage, "TestWorse/overlap", edit(joinerFile, "return best, best.Value.Quorum(answered)", "return best, answered != nil"))},
	{"LOST: torn writes", "a loss of power tears the file, and the save before is not found", "the file has two slots with checksums, and a torn end is cut off", files(statestoreFile), scenarios("herd_kill off", "node_kill power", "disk_full"),
		mutation("transport/statestore", "TestTornAnywhere", edit(statestoreFile, "	if complete == len(text) {\n", "	if complete <= len(text) {\n"))},
	{"RECOVER", "after a loss of all machines, without any state at the edges, less than a quarter of the requests are served once recovery-s has passed", "controllers read the committed configuration from disk, and edges become ready with it", files(controllerFile, readinessFile), scenarios("power_off_all", "kill_all", "wipe_after_ack"),
		mutation(controlsimPackage, "TestEdgesAfterEverythingDark", edit(controllerFile, "case options.RegisterState != nil:", "case options.RegisterState != nil && len(options.RegisterState.Value.Body) == 0:"))},

	// Rollouts.
	{"EXPOSURE: verdict", "a bad version gets more than exposure-share of its service's requests, or any request later than rollback-ms after its 50th bad answer", "a likelihood ratio test compares its failed and slow answers with the other version's", files(detectorFile), scenarios("rollout_bad"),
		mutation(rolloutPackage, "TestVerdicts", edit(detectorFile, "threshold = 7.0", "threshold = 700.0"))},
	{"EXPOSURE: share", "a trial gets more than the deployment's exposure-share before the version is known to be good", "the traffic of each stage is a multiple of that share", files(planFile), scenarios("rollout_bad late"),
		mutation(rolloutPackage, "TestTrialFollowsTheExposureShare", edit(planFile, "return min(b.ExposureShare, maxExposure)", "return defaultExposure"))},
	{"EXPOSURE: unseen", "a version without any requests advances to all of the traffic, which a later configuration then sends to it", "it stays in its trial until it has had enough requests to be judged", files(managerFile), scenarios("rollout_bad", "config_change route"),
		mutation(rolloutPackage, "TestAnUnseenVersionGetsNoMoreThanItsTrial", edit(managerFile, "return requests >= minRequests || ", "return requests >= 0 || "))},
	{"EXPOSURE: shut", "requests go to a reverted version", "edges admit no replica of it", files(rolloutFile, tableRolloutsFile), scenarios("rollout_bad"),
		mutation(proxyserverPackage, "TestRolloutOnTheWholePath", edit(rolloutFile, "return !target && !slices.Contains(r.Reverted, version)", "return true"))},
	{"EXPOSURE: former duty", "a change that a former lease holder decided opens a reverted version", "each change names the step of the rollout on which it is based", files(rolloutSetFile), scenarios("rollout_bad", "node_kill leader"),
		mutation(rolloutPackage, "TestStepOfAFormerDutyChangesNothing", edit(rolloutSetFile, "s.Rollouts[at].Step != c.Rollout.Step || ", ""))},
	{"EXPOSURE: behind", "an upstream with older state opens a reverted version again", "the rollout set with the highest version wins", files(clusterstateFile), scenarios("rollout_bad", "core_cut"),
		mutation("decide/clusterstate", "TestRolloutsNeverGoBack", edit(clusterstateFile, "if update.Rollouts.Version > s.Rollouts.Version {", "if update.Rollouts.Version > 0 {"))},
	{"Duty: good versions", "a good version is reverted", "bad answers of a replica beyond those of the median replica are not counted", files(detectorFile), scenarios("rollout_good", "srv_slow", "garble"),
		mutation(rolloutPackage, "TestOneReplicaInTrouble", edit(detectorFile, "if s.bad > maxBad {", "if false {"))},
	{"Duty: complete", "replicas of the old version are stopped while an edge still sends to them", "each connected edge must report that it uses the switched set and has no request in flight at the old version", files(managerFile), scenarios("rollout_good"),
		mutation(rolloutPackage, "TestCompleteWaitsForEdges", edit(managerFile, "if !settled && now-v.receivedAt < edgeTimeout {", "if !settled && false {"))},
	{"Duty: complete, former duty", "a new lease holder completes a rollout before it has received reports from the edges", "it waits for edges without a report from the time at which it became the holder", files(managerFile), scenarios("rollout_good", "node_kill leader"),
		mutation("lab/rolloutcheck", "TestAllOrders", edit(managerFile, "waited := min(now-t.stageSince, s.heldFor) >= edgeTimeout", "waited := now-t.stageSince >= 0*s.heldFor"))},
	{"Duty: complete, late edges", "an edge that has not received the switch yet counts as switched", "an edge's evidence names the version of the set that it uses", files(managerFile), scenarios("rollout_good"),
		mutation("lab/rolloutcheck", "TestAllOrders", edit(managerFile, "settled := v.evidence.Version >= t.rollout.Changed && v", "settled := v"))},
	{"Acks: rollouts", "a rollout has no acknowledgement", "a rollout order is an edit of the register, and a repeated order is acknowledged again", files(controllerRolloutsFile, rolloutSetFile), scenarios("rollout_good", "rollout_bad", "ack_lost"),
		mutation(rolloutPackage, "TestBegin", edit(rolloutSetFile, "case known && was.Order == o:", "case false:"))},
	{"LOST: rollouts", "an acknowledged rollout is gone after a loss", "the register holds the rollouts together with the configuration", files(controllerRolloutsFile), scenarios("power_off_all", "wipe_after_ack", "kill_all"),
		mutation("transport/statestore", "TestRolloutsAreKept", edit(statestoreFile, "`cbor:\"4,keyasint,omitzero\"`", "`cbor:\"-\"`"))},

	// Readiness, acknowledgements and resources.
	{"Duty: ready", "connected machines are not ready for an eighth of the time without faults, or are ready with an old version", "an edge is ready when a fresh upstream confirms its configuration, or after 3 s without such an upstream", files(readinessFile), scenarios("herd_kill", "roll_term", "core_cut"),
		mutation("decide/follower", "TestReadyOnlyWithCurrent", edit(readinessFile, "return r.wasFresh || now-r.configuredAt >= readyUnconfirmedAfter", "return r.wasFresh"))},
	{"Acks: orders", "a valid order has no acknowledgement after order-ack-ms while the controllers have no faults", "a value that no controller knows to be committed is completed by a new round", files(contactFile), scenarios("node_kill leader race", "config_storm", "disk_stall"),
		mutation(controllerPackage, "TestHalfWrittenIsSettled", edit(contactFile, "settleDelay       = 400 * ms", "settleDelay       = 400000 * ms"), edit(contactFile, "settleBackupDelay = 800 * ms", "settleBackupDelay = 800000 * ms"))},
	{"Acks: near controllers", "replicas are referred to a controller that refuses their heartbeats", "answers name only controllers that are in contact, have caught up and are not shutting down", files(heartbeattargetFile), scenarios("roll_term", "replace_core", "core_cut"),
		mutation(controllerPackage, "TestNoHeartbeatsToThoseThatLeave", edit(heartbeattargetFile, "if c.isShuttingDown(ip) || !c.isLive(ip) {", "if !c.isLive(ip) {"))},
	{"Worth: replicas heard elsewhere", "after lost messages, replicas that send heartbeats to another controller count as silent, or silent ones as alive", "each heartbeat has the checksums of a group of replicas, which are compared", files(groupsFile, groupFile), scenarios("core_cut", "net_harm", "node_kill"),
		mutation("decide/registry", "TestViewNoticesLosses", edit(groupFile, "len(v.contentHashes) == update.Count && v.idSum == update.IDSum && ", "len(v.contentHashes) == update.Count && "))},
	{"Worth: lost during a cut", "a controller that was isolated from the one that receives a replica's heartbeats never notices that the replica was lost", "a full group message replaces all that was known of the group", files(groupsFile, registryFile), scenarios("core_cut", "srv_crash", "node_kill"),
		mutation(controllerPackage, "TestLostReplicaFallsSilentAfterACut", edit(groupsFile, "	if update.Whole {\n", "	if false {\n"))},
	{"Worth: changed during a cut", "a controller that was isolated when a replica changed its address sends edges the old one forever", "the checksums of a group cover the content of its records", files(groupFile, registryFile), scenarios("core_cut"),
		mutation(controllerPackage, "TestChangedRecordIsLearnedAfterACut", edit(registryFile, "heartbeat.ContentHash != 0 && heartbeat.Seq > e.Seq && ", "false && "))},
	{"CONFIG: in force with its replicas", "a configuration comes into force that uses a service of which the edge knows no replica", "the replicas of newly used services come in the same update as the configuration", files(selectionFile), scenarios("reshard", "big_config", "config_change"),
		mutation("decide/clusterstate", "TestToldOfWhatIsUsed", edit(selectionFile, "if _, usedBefore := before[r.Service]; !usedBefore && s.uses(r.Service) {", "if false {"))},
	{"Acks: leavers", "more than a fifth of the draining replicas get no acknowledgement", "an acknowledgement needs a majority of the disks, but no particular one", files(callersFile, departuresFile), scenarios("scale_in", "disk_stall", "disk_full"),
		mutation(controllerPackage, "TestDrainBesideStuckDisks", edit(callersFile, "if 2*n > len(c.members()) {", "if n == len(c.members()) {"))},
	{"Prices: held", "a request that cannot be served in time waits instead of being declined", "a query that would end late is declined before it uses any capacity", files(admissionFile), scenarios("burst", "srv_crash all", "srv_slow across"),
		mutation(balancePackage, "TestScenarios/worth", edit(admissionFile, "if need-missing < least-epsilon {", "if false {"))},
	{"Prices: come back", "declined clients all retry at the same time and are declined again", "each decline has a random Retry-After", files(routingtableFile, clienthttpFile), scenarios("burst", "retry_abuse"),
		mutation(routingtablePackage, "TestComeBackSpreads", edit(routingtableFile, "return advice - int64(random*float64(advice)/2)", "return advice"))},
	{"Fault: memory", "a process exceeds its memory limit and is killed", "servers without connections are released, as are rows, shards and replicas that are gone", files(serverFile, routingtableFile), scenarios("config_storm", "config_change idle"),
		mutation(clienthttpPackage, "TestLimitsThatChange", edit(serverFile, "	if !d.retired || d.open > 0 {\n", "	if d.retired || d.open > 0 {\n"))},
	{"Fault: stated lengths", "a process ends for want of memory because a peer states a length that it never sends", "memory grows with what has arrived", files(boundedreadFile), scenarios("any"),
		mutation("transport/boundedread", "TestStatedAndNotSent", edit(boundedreadFile, "min(length, nextSize(have, statedGrowth))", "min(length, 1<<48)"))},
	{"Fault: result counts", "an edge ends for want of memory because a route asks for more records than there are", "the memory of an answer is bounded by the size of its parts", files(gatherFile), scenarios("any"),
		mutation(clienthttpPackage, "TestLargeResultCount", edit(gatherFile, "	var top [][]byte // descending, at most n\n", "	top := make([][]byte, 0, n) // descending\n"))},
	{"Fault: bodies together", "an edge ends for want of memory because of what its clients send at the same time", "the bodies of requests take their memory from a budget; one that does not fit is declined", files(bodyFile, budgetFile), scenarios("any"),
		mutation(clienthttpPackage, "TestBodiesBeyondTheMemory", edit(budgetFile, "	if !a.budget.pool.Take(a.peer, bytes) {\n", "	if !a.budget.pool.Take(a.peer, 0) {\n"))},
	{"Fault: heads", "a process ends for want of memory because a peer sends a head that never ends", "a head is read no further than its limits, interim answers counted in", files(headFile, connectionFile), scenarios("any"),
		mutation(replicahttpPackage, "TestAnswersWithoutEnd", edit(headFile, "	h.passed = h.check()\n", ""))},
	{"Fault: answers together", "an edge ends for want of memory because of what replicas answer at the same time", "answers take their memory from a budget until they have been passed on", files(connectionFile, poolFile, budgetFile), scenarios("any"),
		mutation(replicahttpPackage, "TestAnswersTogether", edit(connectionFile, "boundedread.Exactly(res.Body, n, account)", "boundedread.Exactly(res.Body, n, nil)"))},
	{"Fault: answers that are not read", "a client that does not read its answer holds the memory of its service's answers for as long as it keeps the connection", "an answer must be taken within a time, or its connection ends", files(clienthttpFile), scenarios("any"),
		mutation(clienthttpPackage, "TestClientThatDoesNotReadItsAnswer", edit(clienthttpFile, "	control.SetWriteDeadline(time.Now().Add(writeTimeout)) //", "	control.SetWriteDeadline(time.Time{}) //"))},
	{"Fault: neighbours of a flood", "requests for other services fail because replicas of one send without end", "a peer may hold no more than a share of what is free, so that others find room", files(memoryshareFile), scenarios("any"),
		mutation("decide/memoryshare", "TestNoNeighbourPays", edit(memoryshareFile, "	freeToGroup := (free - of.held - bytes) / 2 //", "	freeToGroup := free //"))},
	{"Fault: floods again and again", "a faulty replica is asked again as soon as its answer has passed a limit, and takes the processor of its callers", "connections to it are opened one at a time, in pauses that double", files(reconnectFile, gateFile), scenarios("any"),
		mutation(replicahttpPackage, "TestPauseAfterALimit", edit(gateFile, "	g.pacer.LimitPassed(now)\n", ""))},
	{"Fault: frames together", "a process ends for want of memory because of frames that never come whole", "frames take their memory from a budget; a link holds it for a limited time", files(peerFile, memoryplanFile), scenarios("any"),
		mutation("transport/peer", "TestFramesThatStop", edit(peerFile, "boundedread.Exactly(l.r, int64(n), l.account)", "boundedread.Exactly(l.r, int64(n), nil)"))},
	{"Worth: neighbours of a faulty service", "requests for other services are declined because those for a faulty one are", "a workload makes room for those that need the same shard, and for no others", files("balance/admission.go"), scenarios("any"),
		mutation(balancePackage, "TestDeclinesForAFaultyService", edit("balance/admission.go", "[q.parts[0].shard%len(a.shardAdmitted)]", "[0]"))},
	{"Worth: first queries of a service", "the first requests for a service are declined, although those for others are not", "a workload that is admitted less than all others is admitted more widely", files("balance/admission.go"), scenarios("any"),
		mutation(balancePackage, "TestFirstQueriesOfAService", edit("balance/admission.go", "max(a.admitted.at(now, 0), beside.at(now, own))", "beside.at(now, own)"))},
	{"CONFIG: bodies that stop", "a client that stops in its body has no answer after its route's deadline-ms", "a body must have come by the request's deadline", files(bodyFile), scenarios("any"),
		mutation(clienthttpPackage, "TestClientThatStopsInItsBody", edit(bodyFile, "	control.SetReadDeadline(time.Now().Add(within)) //", "	control.SetReadDeadline(time.Time{}) //"))},
	{"Fault: disk", "the disk fills up, or a full one ends the process", "the file is rewritten when it has grown; if that fails, it only keeps its size", files(statestoreFile), scenarios("disk_full", "config_storm"),
		mutation("transport/statestore", "TestDiskThatRefuses", edit(statestoreFile, "	if err := s.writeCopy(copyPath); err != nil {\n		os.Remove(copyPath)\n		return nil\n	}\n", "	if err := s.writeCopy(copyPath); err != nil {\n		return err\n	}\n"))},
	{"Fault: listeners", "a program ends, at each of its starts, because the system refuses one of its listeners", "no failure is given up, in one place for all programs and all listeners", files(transientFile, listenFile), scenarios("any"),
		mutation(transientPackage, "TestNoFailureIsGivenUp", edit(transientFile, "if failure == Closed {", "if failure == Closed || a.failed {"))},
	{"Fault: accepting", "a process that is short of descriptors for a moment accepts no connections ever after", "accept fails only once the listener is closed", files(transientFile, listenFile), scenarios("any"),
		mutation("transport/listen", "TestAcceptOutlastsAShortageOfDescriptors", edit(transientFile, "if failure == Closed {", "if failure == Closed || a.failed {"))},
	{"Fault: socket options", "a system that refuses a socket option lets no connection come up, so nothing is ever served", "a connection is used without an option that is refused", files(optionsFile), scenarios("any"),
		mutation("transport/peer", "TestRefusedOptionsAreDoneWithout", edit(optionsFile, "	shareLocalPortOption.set(raw)\n	return nil\n", "	shareLocalPortOption.set(raw)\n	return raw.Control(func(uintptr) {})\n"))},
	{"Fault: figures", "a figure of the settings that is written in another form ends a program", "a figure is read from a whole number, a fraction, true or false; keys that are not used are not held", files(figureFile), scenarios("any"),
		mutation("deployment/settings", "TestFiguresInAnyForm", edit(figureFile, "if word == \"true\" || word == \"false\" {", "if false {"))},
	{"Fault: settings being written", "a program that starts while its settings file is written, or long before it is, ends", "it reads the file again until it is whole", files(startFile, transientFile), scenarios("hup"),
		mutation("transport/daemon", "TestSettingsBeingWritten", edit(transientFile, "if failure == Closed {", "if failure == Closed || a.delays == delaysOf[ReadSettings] {"))},
	{"Fault: outdated settings", "a program that waits for what its settings name waits for ever, though the settings have been corrected", "the file is looked at while a program starts, and the start begins anew with other settings", files(startFile), scenarios("hup"),
		mutation("transport/daemon", "TestSettingsCorrectedWhileStarting", edit(startFile, "			cancel(errSettingsChanged)\n", ""))},
	{"Fault: newer state", "a controller ends, at each of its starts, because a newer version wrote its state file", "it waits, and the file stays as it is", files(statefileFile, transientFile), scenarios("any"),
		mutation("transport/controlserver", "TestNewerStateIsWaitedOut", edit(transientFile, "if failure == Closed {", "if failure == Closed || a.delays == delaysOf[OpenState] {"))},
	{"Fault: interrupted first start", "the system never starts, since most seeds ended before anything was on their disks", "machines that all say that their disks are empty form the register", files(formationFile, joiningFile), scenarios("any"),
		mutation(registerPackage, "TestInterruptedFirstStartIsFormed", edit(formationFile, "	return empty > r.moreThan\n", "	return false\n"))},
	{"Fault: waits", "a system that cannot start does not say why", "each controller without a majority names whom it waits for, in its log and its answers", files(joiningFile), scenarios("any"),
		mutation(controllerPackage, "TestWaitIsSaid", edit(joiningFile, "	if wait := c.waitsFor(); wait != \"\" {\n		return reason", "	if wait := c.waitsFor(); wait == \"-\" {\n		return reason"))},
	{"Fault: early signals", "SIGHUP in the first milliseconds of a process ends it", "SIGHUP is ignored from before the Go runtime starts until it is handled", files(earlySignalsFile, signalsFile), scenarios("hup", "roll_term"),
		mutation("transport/daemon", "TestSignalsBeforeMain", edit(earlySignalsFile, "	signal(SIGHUP, SIG_IGN);\n", ""))},
	{"Fault: threads", "a process starts threads by the cores of its host, beyond a limit of its own", "Go code runs on as many threads as the settings give cores", files(limitsFile), scenarios("any"),
		mutation("transport/daemon", "TestCoresOfTheSettings", edit(limitsFile, "		runtime.GOMAXPROCS(cores)\n", ""))},
	{"Fault: no seeds", "a program ends, at each of its starts, because the platform's list of seeds is empty", "an empty list is valid; an agent reads it again until it has reached a controller", files("deployment/settings/settings.go", "transport/agentserver/agentserver.go"), scenarios("any"),
		mutation("deployment/settings", "TestNoSeeds", edit("deployment/settings/settings.go", "KeySeedNodes: s.SeedNodes != nil", "KeySeedNodes: len(s.SeedNodes) > 0"))},
	{"LOST: a register beside another", "machines with empty disks form a register though another machine may hold what was acknowledged", "each of the members must say that it holds nothing", files(formationFile), scenarios("wipe_after_ack", "replace_core", "core_cut"),
		mutation(registerPackage, "TestNoRegisterBesideOrInPlaceOfAnother", edit(formationFile, "		default:\n			return false\n", "		default:\n"))},
	{"LOST: disks lost at once", "machines that have lost their disks at once take a first start for one that nothing was written after", "the register is formed only if more disks are empty than may be lost at once", files(formationFile), scenarios("wipe_after_ack", "power_off_all"),
		mutation(registerPackage, "TestNoRegisterBesideOrInPlaceOfAnother", edit(formationFile, "if found && len(first.Members)/2+1 > budget(first.Members) {", "if found {"))},
	{"LOST: disks lost one by one", "machines that were empty one after the other are taken for machines that are empty at the same time", "they must be the same processes in two rounds", files(formationFile), scenarios("wipe_after_ack", "node_kill"),
		mutation(registerPackage, "TestFormedOnlyByProcessesThatStayed", edit(formationFile, "vacant && j.lives[machine] != vacancy.Life", "vacant && vacancy.Life == \"\""))},
	{"Fault: rounds", "a controller's rounds follow one another without end, and none of its edits is ever reported", "an edit whose change is committed is not applied again", files(proposerFile), scenarios("replace_core", "roll_term"),
		mutation("decide/register", "TestOppositeChangesOfMembersEnd", edit(proposerFile, "		p.markCommitted()\n", ""))},
	{"Fault: unread logs", "a program stands still because nobody reads its log", "lines are queued up to a bound and written by a goroutine of their own; further ones are dropped and counted", files("transport/logwriter/logwriter.go"), scenarios("any"),
		mutation("transport/logwriter", "TestFullFileHoldsNobodyUp", edit("transport/logwriter/logwriter.go", "	if len(w.queued)+len(line) > maxQueuedBytes {\n", "	if len(line) > maxQueuedBytes {\n"))},
	{"LOST: joining disks", "a disk that comes back empty takes an answer that omits the body, and counts without the configuration", "the ballots of a process's joiner differ from those of its proposer", files(joinerFile), scenarios("wipe_after_ack", "after_ack_wipe", "replace_core"),
		mutation("decide/register", "TestJoinerTakesNoAnswerToTheProposer", edit(joinerFile, "name + joinerSuffix", "name"))},
	{"LOST: disks that refuse", "a controller takes a disk that refuses for a moment for an empty one, and removes what was acknowledged", "only content that cannot be read is removed; errors of the system are waited for", files(statefileFile, transientFile), scenarios("disk_full", "disk_stall"),
		mutation("transport/controlserver", "TestPassingDiskErrorKeepsTheState", edit(statefileFile, "if !errors.Is(err, statestore.ErrDamaged) {", "if err == nil || errors.Is(err, statestore.ErrNewerFormat) {"))},
	{"LOST: compaction", "saves go to a file that the compacted one has replaced", "a store whose new file cannot be opened is given up and opened again", files(statestoreFile), scenarios("disk_full", "config_storm"),
		mutation("transport/statestore", "TestFileThatIsGoneAfterACompaction", edit(statestoreFile, "	s.Close()\n	if err := s.openFile(); err != nil {\n", "	previous := *s\n	defer previous.Close()\n	if err := s.openFile(); err != nil {\n		return nil\n"))},
}
