package rules

import "willowsill/lab/modelcheck/planted"

// Files that keep many rules.
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
	proposerFile           = "decide/register/proposer.go"
	registerFile           = "decide/register/register.go"
	registryFile           = "decide/registry/registry.go"
	clusterstateFile       = "decide/clusterstate/clusterstate.go"
	followerFile           = "decide/follower/follower.go"
	readinessFile          = "decide/follower/readiness.go"
	statestoreFile         = "transport/statestore/statestore.go"
	daemonFile             = "transport/daemon/daemon.go"
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

// All are the rules in force, in the order of the operators' pages.
var All = []Rule{
	// Requests and answers.
	{"MIXED: seal", "a success goes out without the replica's seal", "an answer without one is a failure", files(connectionFile), scenarios("any", "garble"),
		mutation(replicahttpPackage, "TestWaysToEnd", edit(connectionFile, `case a.Status >= 200 && a.Status < 300 && a.Seal != "" &&`, `case a.Status >= 200 && a.Status < 300 &&`))},
	{"MIXED: another's answer", "a client gets the answer to another request", "one request at a time on a connection, and the attempt id is compared", files(connectionFile), scenarios("garble extra", "garble extra late", "idle_race"),
		mutation(replicahttpPackage, "TestSurplusAnswers", edit(connectionFile, "if answer.attempt != req.Attempt {", "if false {"))},
	{"MIXED: two answers in one", "the body is not the replica's, but has another answer behind it", "a body that ends with its connection and holds a first line is nobody's", files(connectionFile), scenarios("garble unframed", "garble extra"),
		mutation(replicahttpPackage, "TestAnswerOfNobody", edit(connectionFile, "if endsAtClose(res) && bytes.Contains(body, []byte(statusLineStart)) {", "if bytes.Contains(body, []byte(statusLineStart)) && false {"))},
	{"MIXED: broken off", "an answer that was broken off, or reset on its way, looks whole", "the body is read whole, by length, by chunks, or up to an end in order", files(connectionFile), scenarios("garble", "garble unframed", "srv_crash", "reset_conns"),
		mutation(proxyserverPackage, "TestReplicaConnections/no length, reset, unsafe true, reused false", edit(connectionFile, "	body, err := io.ReadAll(io.LimitReader(res.Body, maxBodyBytes+1))\n", "	body, err := io.ReadAll(io.LimitReader(res.Body, maxBodyBytes+1))\n	err = nil\n"))},
	{"MIXED: failure", "a failure bears a replica's seal and another status than that replica gave", "a replica's failure goes out as it is, own ones without any header of a replica", files(clienthttpFile), scenarios("srv_grey errors", "garble"),
		mutation(clienthttpPackage, "TestRefusals", edit(clienthttpFile, "	w.WriteHeader(got.Status)\n	w.Write(got.Body)\n", "	w.WriteHeader(max(got.Status, http.StatusBadGateway))\n	w.Write(got.Body)\n"))},
	{"MIXED: nobody asked", "bytes go out that answer no request: a success for a client that has left", "a query without an answer ends as 502 and closes", files(clienthttpFile), scenarios("retry_abuse", "node_freeze"),
		mutation(clienthttpPackage, "TestClientLeaves", edit(clienthttpFile, "		w.Header().Set(\"Connection\", \"close\")\n		refuse(w, http.StatusBadGateway, 0)\n		return\n	}\n	draw", "		return\n	}\n	draw"))},
	{"MIXED: parts", "a seal stands in Willowsill-Part-Seals that is no good answer to this request", "the parts that the module counts, and of these the successes", files(clienthttpFile), scenarios("garble", "srv_grey errors"),
		mutation(clienthttpPackage, "TestGatheredAnswer", edit(clienthttpFile, "got != nil && got.Status/100 == 2 {", "got != nil {"), edit(clienthttpFile, "for _, v := range a.Values {\n		if got := req.Answers[v.Shard];", "for shard := range req.Answers {\n		v := node.Value{Shard: shard}\n		if got := req.Answers[v.Shard];"))},
	{"MIXED: missing parts", "the parts with Willowsill-Missing-Parts do not make up the set", "what is missing is counted from the parts of the query", files(clienthttpFile), scenarios("srv_crash all", "srv_slow across"),
		mutation(clienthttpPackage, "TestGatheredAnswer", edit(clienthttpFile, "missing := len(parts) - len(seals); missing > 0", "missing := len(parts) - len(seals); missing > 1"))},
	{"MIXED: one configuration", "the parts are of no one configuration's set, or are judged by another's coverage", "a query keeps the shards and terms that it was taken on", files(balanceFile, clienthttpFile), scenarios("reshard", "config_change", "config_storm"),
		mutation(proxyserverPackage, "TestOneConfigurationAnAnswer", edit(balanceFile, "next := *a.workloads[i] //", "next := a.workloads[i] //"), edit(balanceFile, "a.minGoal = w, &next, min(", "a.minGoal = w, next, min("))},
	{"MIXED: coverage", "an answer has less than min-coverage of the shards", "the floor of the route's workload", files(routingtableFile, admissionFile), scenarios("srv_crash all", "srv_crash across"),
		mutation(proxyserverPackage, "TestLeastCoverage", edit(routingtableFile, "w.MinCoverage = min(max(r.MinCoverage, 1/float64(len(r.Fanout))), 1)", "w.MinCoverage = 1 / float64(len(r.Fanout))"))},
	{"MIXED: greatest records", "the body is not the greatest records of the named parts, falling", "a merge that keeps the greatest", files(gatherFile), scenarios("any"),
		mutation("decide/gather", "TestGreatest", edit(gatherFile, "return bytes.Compare(b, a)", "return bytes.Compare(a, b)"))},
	{"UNASKED: unchanged", "a replica runs a request whose method, path, query or body was changed", "the first line and headers go on as they came", files(clienthttpFile), scenarios("any"),
		mutation(clienthttpPackage, "TestWhatReplicasGet", edit(clienthttpFile, "target := r.RequestURI", "target := r.URL.Path"))},
	{"UNASKED: smuggled", "a replica runs what was smuggled inside another request", "heads and bodies are read by net/http; what does not come whole goes nowhere", files(clienthttpFile), scenarios("any"),
		mutation(clienthttpPackage, "TestClientConnections", edit(clienthttpFile, `if attempt == "" || len(r.Header[replicahttp.HeaderAttempt]) > 1 {`, `if attempt == "" {`))},
	{"UNASKED: rest of a body", "a replica that answered before a long body was in gets other bytes in that place", "writes go one after another, and a failed one closes the connection first", files(connectionFile), scenarios("garble early"),
		mutation(replicahttpPackage, "TestAnsweredBeforeItIsWritten", edit(connectionFile, "		c.end(e, notice{conn: c, result: failedWrite(n), err: err})\n		c.conn.Close()\n", "		c.end(e, notice{conn: c, result: failedWrite(n), err: err})\n"))},
	{"TWICE: unsafe", "a request that is not repeatable runs more than once", "unsafe routes are once-only and have one execution", files(routingtableFile, retryFile), scenarios("answer_lost", "reset_conns", "srv_grey reset"),
		mutation(proxyserverPackage, "TestReplicaConnections/closed after the request, unsafe true, reused false", edit(routingtableFile, "w.RetrySafety, w.MaxExecutions = balance.OnceOnly, 1", "w.RetrySafety, w.MaxExecutions = balance.Repeatable, 2"))},
	{"TWICE: terms", "the same, where a configuration gives the route's place to another route meanwhile", "queries keep their terms", files(balanceFile), scenarios("config_change route", "big_config"),
		mutation(balancePackage, "TestScenarios/once-row", edit(balanceFile, "next := *a.workloads[i] //", "next := a.workloads[i] //"), edit(balanceFile, "a.minGoal = w, &next, min(", "a.minGoal = w, next, min("))},
	{"TWICE: rows", "the same, where the request's body is still being read", "rows rest for a minute before another route gets them", files(routingtableFile), scenarios("config_change route", "big_config"),
		mutation(routingtablePackage, "TestRowsRest", edit(routingtableFile, "len(t.freeRows) > 0 && now-t.freeRows[0].since >= reuseDelay {", "len(t.freeRows) > 0 {"))},
	{"TWICE: names", "the same, where a safe route has the name of an unsafe one", "routes are known by host and prefix, which no two share", files(routeconfigFile, routingtableFile, clienthttpFile), scenarios("answer_lost", "big_config"),
		mutation("front/clienthttp", "TestRoutesOfOneName", edit(routeconfigFile, "return RouteID{strings.ToLower(r.Host), r.Prefix}", "return RouteID{Host: r.Name}"),
			edit(routeconfigFile, "if other, ok := seen[r.ID()]; ok {", "if other, ok := seen[RouteID{r.Host, r.Prefix}]; ok {"))},
	{"REFUSED: proof", "429, 503, 408 or 421 for a request that has run or will", "only a proof says that nothing ran", files(connectionFile), scenarios("srv_grey shed", "srv_grey busy", "garble"),
		mutation(replicahttpPackage, "TestOnlyAProofSaysNotRun", edit(connectionFile, "return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusBadRequest", "return true"))},
	{"REFUSED: a replica's 503", "a replica's own 503 without a proof goes on as a promise", "it goes on as 502", files(clienthttpFile), scenarios("srv_grey busy"),
		mutation(proxyserverPackage, "TestReplicaConnections/503 of its own, unsafe true, reused false", edit(clienthttpFile, "got.Status == http.StatusServiceUnavailable && final != balance.Declined", "false"))},
	{"REFUSED: declines", "a decline promises that nothing ran, and a part may have", "once-only queries with such a part are forfeited", files(admissionFile), scenarios("answer_lost", "srv_crash"),
		mutation(balancePackage, "TestScenarios/once-only", edit(admissionFile, "if ran && q.workload.RetrySafety != Repeatable {", "if false && ran {"))},
	{"DENIED", "a 404 or another 4xx of one's own for what the configurations allow; one that knows none answers 503", "503 before there is a configuration", files(clienthttpFile), scenarios("herd_kill", "power_off_all", "roll_term"),
		mutation(clienthttpPackage, "TestRefusals", edit(clienthttpFile, "	if state == nil {\n		refuse(w, http.StatusServiceUnavailable, int64(time.Second))", "	if state == nil {\n		refuse(w, http.StatusNotFound, int64(time.Second))"))},
	{"ROUTE: prefix", "a request goes to a service that its route does not name", "the longest prefix of the host", files(routeconfigFile), scenarios("config_change route", "big_config"),
		mutation("decide/routeconfig", "TestReadAndFind", edit(routeconfigFile, "return len(b.Prefix) - len(a.Prefix)", "return len(a.Prefix) - len(b.Prefix)"))},
	{"ROUTE: reused address", "a replica of another service, at the address of one that is gone, runs a request", "Willowsill-Target-Replica on every send", files(connectionFile), scenarios("replace_with_reuse"),
		mutation(replicahttpPackage, "TestPartAndAnswer", edit(connectionFile, "	buf = append(buf, c.destination.id...)\n", ""))},
	{"ROUTE: 421", "what another replica turned away is lost", "421 proves that nothing ran; the part goes elsewhere", files(connectionFile), scenarios("replace_with_reuse"),
		mutation(replicahttpPackage, "TestWaysToEnd", edit(connectionFile, "		return balance.ConnectFailed // another replica has the address\n", "		return balance.Errored\n"))},
	{"ROUTE: shards", "a part that waits, or whose request is still being read, goes to a service that has got the place of its own", "shards rest for a minute before another service gets them", files(routingtableFile), scenarios("reshard", "config_change route", "replace_with_reuse"),
		mutation(routingtablePackage, "TestShardsRest", edit(routingtableFile, "if s := &t.shards[number]; !s.used && (s.freeSince == 0 || now-s.freeSince >= reuseDelay) {", "if s := &t.shards[number]; !s.used {"))},
	{"ROUTE: services without a place", "a request goes to another service's replicas, for want of a place of its own", "a service that has none shares none; its requests get 503", files(routingtableFile, clienthttpFile), scenarios("big_config", "reshard"),
		mutation(clienthttpPackage, "TestServiceWithoutAShard", edit(clienthttpFile, "		if !found {\n			return nil, false\n		}\n", "		_ = found\n"))},

	// Leaving in order.
	{"DRAIN: acknowledged", "a request reaches a replica later than drain-ms after its leaving was acknowledged, by whichever machine", "acknowledged on a majority's disks only", files(callersFile, departuresFile), scenarios("scale_in", "release", "core_cut lure", "node_kill leader race drain"),
		mutation(controlsimPackage, "TestWorse/departures", edit(callersFile, "if r.Phase == registry.Ready {\n		c.effects", "if true {\n		c.effects"))},
	{"DRAIN: late words", "a heartbeat that comes seconds late brings a replica back that leaves", "what is leaving stays so", files(registryFile), scenarios("scale_in", "release"),
		mutation(controlsimPackage, "TestWorse/departures", edit(registryFile, "if o.Phase == Gone || o.Phase == Draining && r.Phase == Ready {", "if o.Phase == Draining && r.Phase == Ready {"))},
	{"DRAIN: missed", "a controller that was cut off as a replica left goes on telling edges that it is ready", "each heartbeat has a sum of those that leave; where it differs the records are asked for", files(leavingFile, "decide/registry/leaving.go"), scenarios("core_cut", "scale_in", "release"),
		mutation(controllerPackage, "TestDepartureIsLearnedByOneThatMissedIt", edit(leavingFile, "if sum == c.replicas.LeavingSum() {", "if sum != 1 {"))},
	{"DRAIN: after a loss of power", "an acknowledged drain is forgotten", "answered once the list is saved", files(departuresFile), scenarios("herd_kill off", "power_off_all", "node_kill meet drain"),
		mutation(controllerPackage, "TestAcknowledgedDrainOutlivesPower", edit(departuresFile, "	return !unsaved && !saving\n", "	return !unsaved || !saving\n"))},
	{"DRAIN: services out of use", "an edge that holds a newer configuration than its feeder is not told that a replica of a service drains", "that a replica leaves is told whatever uses it", files(selectionFile), scenarios("reshard", "scale_in", "core_cut behind"),
		mutation("decide/clusterstate", "TestLeaversAreToldWhateverIsUsed", edit(selectionFile, "return r.Phase == registry.Ready && !s.uses(r.Service)", "return !s.uses(r.Service)"))},
	{"DRAIN: no new sends", "an edge goes on sending to a replica that drains", "only replicas that are up are eligible", files(balanceFile), scenarios("scale_in", "release"),
		mutation(balancePackage, "TestScenarios/drain", edit(balanceFile, "= l.Status == Up, l.StartedAt", "= l.Status != Gone, l.StartedAt"))},
	{"DRAIN: readiness", "proxies that were told to stop still call themselves ready 4 s later", "readiness goes first", files(proxyserverFile), scenarios("roll_term", "roll_term busy"),
		mutation(proxyserverPackage, "TestLeavingInOrder", edit(proxyserverFile, "	s.leaving.Store(true)\n", ""))},
	{"LOST: under way at SIGTERM", "a request that was read ends without an answer around planned work", "what is under way is waited for, within the grace", files(proxyserverFile), scenarios("roll_term busy"),
		mutation(proxyserverPackage, "TestLeavingInOrder", edit(proxyserverFile, "server.Shutdown(wait)", "server.Close()"))},
	{"LOST: sent after SIGTERM", "the platform sends for a while yet, and is not answered", "the listener stays open, and each answer closes its connection", files(proxyserverFile), scenarios("roll_term", "scale_in"),
		mutation(proxyserverPackage, "TestLeavingInOrder", edit(proxyserverFile, "	time.Sleep(min(stayOpen, time.Until(until)/2))\n	front.Close()\n", "	front.Close()\n"))},
	{"LOST: signals", "SIGHUP, or SIGTERM once more, ends a process that starts or drains", "handlers that are never taken away", files(daemonFile), scenarios("hup", "roll_term"),
		mutation("transport/daemon", "TestSignalsWhileLeaving", edit(daemonFile, "	signal.Notify(reload, syscall.SIGHUP)\n", ""))},
	{"LOST: limits that change", "a configuration closes connections under requests", "an open connection keeps the server and the limits that it came under", files(serverFile), scenarios("config_change idle", "config_storm"),
		mutation(proxyserverPackage, "TestKeptConnectionsOverAChange", edit(serverFile, "	s.limits = l\n", "	s.limits = l\n	for _, former := range s.all {\n		former.server.Close()\n	}\n"))},
	{"LOST: rested connections", "a kept connection is closed under a request that it was taken up for within four fifths of idle-timeout-ms", "the whole of idle-timeout-ms is waited", files(serverFile), scenarios("config_change idle", "any"),
		mutation(proxyserverPackage, "TestRestedConnections", edit(serverFile, "IdleTimeout: idle,", "IdleTimeout: idle / 2,"))},

	// Configuration.
	{"CONFIG: in force", "a machine in touch goes by an older version later than apply-ms after the acknowledgement", "freshness down to every edge; a feeder that is not fresh is left", files(followerFile, contactFile), scenarios("core_cut", "core_cut one_way", "core_cut behind", "node_cut"),
		mutation(controlsimPackage, "TestDays/point1", edit(followerFile, "if f.alternatives == 0 || f.fresh(now) || now-f.connectedAt < stay {", "if stay > 0 {"))},
	{"CONFIG: never back", "a machine goes back in one life", "the highest revision wins, from any feeder", files(clusterstateFile), scenarios("core_cut behind", "core_cut both", "node_cut"),
		mutation("decide/clusterstate", "TestNeverBack", edit(clusterstateFile, "if update.Revision > s.Revision && len(update.Body)+len(update.Patch) > 0 {", "if update.Revision > 0 && len(update.Body)+len(update.Patch) > 0 {"))},
	{"CONFIG: invalid", "anything invalid is acknowledged or in force", "read and checked field by field before it is an order", files(resourcesFile, routeconfigFile), scenarios("bad_config"),
		mutation("transport/controlserver", "TestInvalidOrders", edit(routeconfigFile, "	seen := map[RouteID]string{}\n", "	seen := map[RouteID]string{}\n	if len(c.Routes) > 0 {\n		return nil\n	}\n"))},
	{"CONFIG: two contents", "other content under a version that is held is acknowledged, read back or obeyed", "a record of the orders and their sums in the register's value", files(ordersFile), scenarios("config_race", "bad_config same_version", "core_cut race"),
		mutation(controllerPackage, "TestLoserOfARaceStaysTheLoser", edit(ordersFile, "case known && sum != o.Sum:", "case known && sum != o.Sum && o.Revision > value.Revision:"))},
	{"CONFIG: refused, then a restart", "what was refused, and is on the disk of a controller that was cut off as it wrote it, is in force after that one's restart", "what is committed is saved by revision and sum of its content, and compared with what the disk holds", files(controllerFile, ordersFile), scenarios("config_race", "core_cut race", "roll_term"),
		mutation(controllerPackage, "TestRefusedContentAfterRestart", edit(controllerFile, "ConfigurationOf(v) == options.CommittedConfiguration {", "v.Revision == options.CommittedConfiguration.Revision {"))},
	{"CONFIG: patches", "a patch is applied to another content than the one that it was made from, under the same revision", "the sum of the whole content goes with each update; where it differs the whole is fetched", files(clusterstateFile), scenarios("config_race", "core_cut race", "config_storm"),
		mutation("decide/clusterstate", "TestPatchOfAnotherContent", edit(clusterstateFile, "ok = update.Sum == 0 || sum == update.Sum", "ok = true"))},
	{"CONFIG: sent again", "an acknowledged change that is sent again is refused", "the record is looked at before the number", files(ordersFile), scenarios("ack_lost", "config_storm"),
		mutation(controllerPackage, "TestHundredsOfChanges", edit(ordersFile, "case known && sum != o.Sum:", "case known && sum != o.Sum || o.Revision < value.Revision:"))},
	{"CONFIG: reads", "any machine, in touch or not, answers a read with an older version", "each read asks a majority", files(callersFile), scenarios("core_cut split", "core_cut behind", "node_kill reader power"),
		mutation(controlsimPackage, "TestWorse/halves", edit(callersFile, "	n, out := c.proposer.Edit(now, readOnlyEdit)\n", "	if c.committed.Revision > 0 {\n		c.answer(call, statusOK, c.committed.Body, \"\")\n		return c.takeEffects()\n	}\n	n, out := c.proposer.Edit(now, readOnlyEdit)\n"))},
	{"CONFIG: two halves", "the counted machines are cut into halves, and one number gets two contents", "more than half of the members, of the former ones too", files(registerFile), scenarios("core_cut split", "core_cut split meet", "core_cut split race"),
		mutation(controlsimPackage, "TestWorse/halves", edit(registerFile, "return 2*n > len(members)", "return 2*n >= len(members)"))},
	{"CONFIG: deadline-ms", "requests unanswered at deadline-ms have no answer half a second later", "a query ends with the shorter of the client's time and the route's", files(clienthttpFile, admissionFile), scenarios("srv_grey hang", "srv_crash dark", "srv_slow"),
		mutation(proxyserverPackage, "TestAnsweredByTheRoutesTime", edit(clienthttpFile, "until := came + route.DeadlineMs*millisecond", "until := came + 8*route.DeadlineMs*millisecond"))},
	{"CONFIG: weights", "a part's share of 300 requests lies off its weight's", "a sequence of low discrepancy for each split", files(weightedsplitFile, routingtableFile), scenarios("config_change weights"),
		mutation("decide/weightedsplit", "TestSharesInEveryWindow", edit(weightedsplitFile, "float64(count)*goldenRatio", "float64(xxhash.Sum64([]byte{byte(count), byte(count >> 8)}))/hashRange"))},
	{"CONFIG: weights over changes", "the same, while changes come quickly", "a split's sequence goes on", files(routingtableFile), scenarios("config_storm", "config_change weights"),
		mutation(routingtablePackage, "TestSplitGoesOn", edit(routingtableFile, "if splits[id] = t.splits[id]; splits[id] == nil {", "if splits[id] == nil {"))},
	{"CONFIG: routes added later", "they are served less than a quarter as often as the first", "a workload that is not known yet goes by its own goal", files(replicasFile), scenarios("big_config", "config_change route"),
		mutation(proxyserverPackage, "TestRoutesAddedLater", edit(replicasFile, "math.Log(float64(w.LatencyGoal)/priorShare)", "math.Log(float64(w.LatencyGoal)*priorShare)"))},

	// Further tries.
	{"BUDGET: a service", "retries of all machines exceed the ratio and the slack in some window", "a budget for each shard, with a span no longer than the window", files(retryFile), scenarios("srv_crash", "srv_grey", "retry_abuse"),
		mutation(balancePackage, "TestScenarios/budget", edit(retryFile, "a.SlackUsed(now, p.shard%len(a.retries))+1 <=", "a.SlackUsed(now, p.shard%len(a.retries)) <="))},
	{"BUDGET: all machines", "the slack is spent by each machine", "an edge's share, none in its first window", files(routingtableFile), scenarios("herd_kill", "add_nodes", "release"),
		mutation(routingtablePackage, "TestBudgetOfAll", edit(routingtableFile, "return retrySlackShare * t.settings.Bounds.RetrySlack / float64(t.edges)", "return retrySlackShare * t.settings.Bounds.RetrySlack"))},
	{"BUDGET: lent shares", "edges use more than all have, one its own share and another the same as a loan", "a lender takes back when what the borrower used has left the window", files(accountFile, lendingFile), scenarios("srv_slow", "srv_crash across", "answer_lost"),
		mutation(lendingPackage, "TestSumHolds", edit(accountFile, "amount{reserved, now + a.timing.Loan + a.timing.Window}", "amount{reserved, now + a.timing.Loan}"))},
	{"BUDGET: a loan twice", "a loan that comes twice is used twice", "a want takes one loan", files(lendingFile), scenarios("node_cut", "core_cut"),
		mutation(lendingPackage, "TestSumHolds", edit(lendingFile, "	delete(s.sent, loan.Answers)\n", ""))},
	{"BUDGET: lenders that restart", "an edge that has forgotten its loans uses what it lent", "half of a share is never lent, and a new edge has that half alone", files(accountFile), scenarios("node_kill", "herd_kill", "roll_term"),
		mutation(lendingPackage, "TestSumHolds", edit(accountFile, "		own *= keepShare\n", ""))},
	{"BUDGET: max-tries", "one try runs at more replicas than max-tries, each shard by itself", "the executions of a part are bounded by it", files(routingtableFile, retryFile), scenarios("srv_grey errors", "garble"),
		mutation(proxyserverPackage, "TestTriesOfARoute", edit(routingtableFile, "MaxExecutions: r.Tries}", "MaxExecutions: r.Tries + 1}"))},
	{"BUDGET: time handed on", "a replica is handed more time than is left, at a second send too", "what is left at the send", files(sendFile), scenarios("srv_grey", "srv_slow"),
		mutation(proxyserverPackage, "TestDeadlinesHandedOn", edit(sendFile, "wait := (s.Deadline - now) / waitUnit", "wait := (s.Deadline - q.arrivedAt) / waitUnit"))},
	{"BUDGET: the client's time", "the deadline handed on is longer than the client's", "the client's deadline bounds the query", files(clienthttpFile), scenarios("any"),
		mutation(proxyserverPackage, "TestDeadlinesHandedOn", edit(clienthttpFile, "until = min(until, came+n*millisecond)", "until = max(until, came+n*millisecond)"))},
	{"GONE: withdrawn", "replicas are at work half a second after the client has left", "a client's leaving ends its query and closes what is out", files(clienthttpFile, admitFile), scenarios("retry_abuse", "burst"),
		mutation(proxyserverPackage, "TestWithdrawnWhenTheClientLeaves", edit(clienthttpFile, "q.Core.Serve(r.Context(), query)", "q.Core.Serve(context.WithoutCancel(r.Context()), query)"))},
	{"GONE: no further sends", "requests reach a replica after their client has left", "what was not written is withdrawn", files(admitFile), scenarios("retry_abuse", "srv_crash dark"),
		mutation("node", "TestNothingAfterTheAnswer", edit(admitFile, "if !e.ended && n.transport.Withdraw(e.ticket) {", "if !e.ended && false {"))},

	// After a loss.
	{"LOST: acknowledged", "what was acknowledged no longer exists after the closing fault", "answers leave after the sync", files(diskFile), scenarios("power_off_all", "wipe_after_ack", "after_ack_kill timed", "herd_kill taken all"),
		mutation(controlsimPackage, "TestWorse/dark", edit(diskFile, "	if after == 0 {\n", "	if after >= 0 {\n"))},
	{"LOST: empty disks", "a machine with an empty disk makes up a majority that never heard of it", "it counts once a majority of the others has promised it", files(proposerFile), scenarios("wipe_after_ack", "after_ack_wipe", "replace_core", "core_cut behind"),
		mutation(controlsimPackage, "TestWorse/overlap", edit(proposerFile, "return best, best.Value.Quorum(answered)", "return best, answered != nil"))},
	{"LOST: torn writes", "the file is torn by a loss of power, and the save before is not found", "two slots with check sums, a torn end is cut off", files(statestoreFile), scenarios("herd_kill off", "node_kill power", "disk_full"),
		mutation("transport/statestore", "TestTornAnywhere", edit(statestoreFile, "	if complete == len(text) {\n", "	if complete <= len(text) {\n"))},
	{"RECOVER", "less than a quarter is served once recovery-s has gone by, with no edge that remembers anything", "controllers find on disk what stood, and edges are ready with it", files(controllerFile, readinessFile), scenarios("power_off_all", "kill_all", "wipe_after_ack"),
		mutation(controlsimPackage, "TestEdgesAfterEverythingDark", edit(controllerFile, "case options.RegisterState != nil:", "case options.RegisterState != nil && len(options.RegisterState.Value.Body) == 0:"))},

	// New versions.
	{"EXPOSURE: verdict", "a bad version gets over exposure-share of its service's requests, or any later than rollback-ms after its 50th bad answer", "a likelihood ratio test on failed and slow answers beside the other version's", files(detectorFile), scenarios("rollout_bad"),
		mutation(rolloutPackage, "TestVerdicts", edit(detectorFile, "threshold = 7.0", "threshold = 700.0"))},
	{"EXPOSURE: share", "a trial gets more than the deployment's exposure-share before the version is known to be good", "what a stage sends is a multiple of that share", files(planFile), scenarios("rollout_bad late"),
		mutation(rolloutPackage, "TestTrialFollowsTheExposureShare", edit(planFile, "return min(b.ExposureShare, maxExposure)", "return defaultExposure"))},
	{"EXPOSURE: unseen", "a version that nobody asked gets all of the traffic, which a configuration sends to its service later", "it keeps its trial until enough requests have said something of it", files(managerFile), scenarios("rollout_bad", "config_change route"),
		mutation(rolloutPackage, "TestAnUnseenVersionGetsNoMoreThanItsTrial", edit(managerFile, "return requests >= minRequests || ", "return requests >= 0 || "))},
	{"EXPOSURE: shut", "requests go to a version that was taken back", "an edge admits no replica of it", files(rolloutFile, tableRolloutsFile), scenarios("rollout_bad"),
		mutation(proxyserverPackage, "TestRolloutOnTheWholePath", edit(rolloutFile, "return !target && !slices.Contains(r.Reverted, version)", "return true"))},
	{"EXPOSURE: former duty", "a step that was decided before the duty changed hands opens a version that was taken back", "a step names the state that it was decided on", files(rolloutSetFile), scenarios("rollout_bad", "node_kill leader"),
		mutation(rolloutPackage, "TestStepOfAFormerDutyChangesNothing", edit(rolloutSetFile, "s.Rollouts[at].Step != c.Rollout.Step || ", ""))},
	{"EXPOSURE: behind", "a feeder that is behind opens a version again that was taken back", "the newest set of rollouts holds", files(clusterstateFile), scenarios("rollout_bad", "core_cut"),
		mutation("decide/clusterstate", "TestRolloutsNeverGoBack", edit(clusterstateFile, "if update.Rollouts.Version > s.Rollouts.Version {", "if update.Rollouts.Version > 0 {"))},
	{"Duty: good versions", "a good version is taken back", "a replica's bad answers beyond what the middle one has count for nothing", files(detectorFile), scenarios("rollout_good", "srv_slow", "garble"),
		mutation(rolloutPackage, "TestOneReplicaInTrouble", edit(detectorFile, "if s.bad > maxBad {", "if false {"))},
	{"Duty: complete", "replicas of the former version end while an edge still sends to them", "each edge in touch says that it goes by the switch and has nothing under way there", files(managerFile), scenarios("rollout_good"),
		mutation(rolloutPackage, "TestCompleteWaitsForEdges", edit(managerFile, "if !settled && now-v.receivedAt < edgeTimeout {", "if !settled && false {"))},
	{"Duty: complete, former duty", "whoever takes the duty over calls a rollout complete before it has heard the edges", "edges that it never heard are waited for from when it took the duty", files(managerFile), scenarios("rollout_good", "node_kill leader"),
		mutation("lab/rolloutcheck", "TestAllOrders", edit(managerFile, "waited := min(now-t.stageSince, s.heldFor) >= edgeTimeout", "waited := now-t.stageSince >= 0*s.heldFor"))},
	{"Duty: complete, late edges", "an edge that has not heard of the switch yet counts as switched", "an edge's evidence names the set that it goes by", files(managerFile), scenarios("rollout_good"),
		mutation("lab/rolloutcheck", "TestAllOrders", edit(managerFile, "settled := v.evidence.Version >= t.rollout.Changed && v", "settled := v"))},
	{"Acks: rollouts", "a rollout has no acknowledgement", "an order is an edit of the register, and the same order is acknowledged again", files(controllerRolloutsFile, rolloutSetFile), scenarios("rollout_good", "rollout_bad", "ack_lost"),
		mutation(rolloutPackage, "TestBegin", edit(rolloutSetFile, "case known && was.Order == o:", "case false:"))},
	{"LOST: rollouts", "an acknowledged rollout is gone after a loss", "it stands in the register, beside the configuration", files(controllerRolloutsFile), scenarios("power_off_all", "wipe_after_ack", "kill_all"),
		mutation("transport/statestore", "TestRolloutsAreKept", edit(statestoreFile, "`cbor:\"4,keyasint,omitzero\"`", "`cbor:\"-\"`"))},

	// Score and gate.
	{"Duty: ready", "machines in touch are not ready for an eighth of the calm time, or are ready with an old version", "ready once a fresh feeder vouches for the configuration, or after 3 s without any", files(readinessFile), scenarios("herd_kill", "roll_term", "core_cut"),
		mutation("decide/follower", "TestReadyOnlyWithCurrent", edit(readinessFile, "return r.wasFresh || now-r.configuredAt >= readyUnconfirmedAfter", "return r.wasFresh"))},
	{"Acks: orders", "a proper order has no acknowledgement after order-ack-ms in a settled core", "what nobody called committed is settled by a round", files(contactFile), scenarios("node_kill leader race", "config_storm", "disk_stall"),
		mutation(controllerPackage, "TestHalfWrittenIsSettled", edit(contactFile, "settleDelay       = 400 * ms", "settleDelay       = 400000 * ms"), edit(contactFile, "settleBackupDelay = 800 * ms", "settleBackupDelay = 800000 * ms"))},
	{"Acks: near controllers", "replicas are sent to a controller that refuses them", "only those that are in contact, have caught up and stay are named", files(heartbeattargetFile), scenarios("roll_term", "replace_core", "core_cut"),
		mutation(controllerPackage, "TestNoHeartbeatsToThoseThatLeave", edit(heartbeattargetFile, "if c.isShuttingDown(ip) || !c.isLive(ip) {", "if !c.isLive(ip) {"))},
	{"Worth: replicas heard elsewhere", "replicas that another controller hears fall silent, or silent ones count as heard, after messages are lost", "the sums of a group are compared with each heartbeat", files(groupsFile, groupFile), scenarios("core_cut", "net_harm", "node_kill"),
		mutation("decide/registry", "TestViewNoticesLosses", edit(groupFile, "len(v.contentHashes) == update.Count && v.idSum == update.IDSum && ", "len(v.contentHashes) == update.Count && "))},
	{"Worth: lost during a cut", "a replica that is lost while a controller is cut off from the one that hears it stays ready there for good", "a whole group replaces what was known of the group", files(groupsFile, registryFile), scenarios("core_cut", "srv_crash", "node_kill"),
		mutation(controllerPackage, "TestLostReplicaFallsSilentAfterACut", edit(groupsFile, "	if update.Whole {\n", "	if false {\n"))},
	{"Worth: changed during a cut", "a controller that was cut off as a replica changed its address sends edges to the old one for good", "the records of a group are in its sums", files(groupFile, registryFile), scenarios("core_cut"),
		mutation(controllerPackage, "TestChangedRecordIsLearnedAfterACut", edit(registryFile, "heartbeat.ContentHash != 0 && heartbeat.Seq > e.Seq && ", "false && "))},
	{"CONFIG: in force with its replicas", "a configuration is in force that uses a service of which the edge knows no replica", "what a configuration begins to use comes with it, in one update", files(selectionFile), scenarios("reshard", "big_config", "config_change"),
		mutation("decide/clusterstate", "TestToldOfWhatIsUsed", edit(selectionFile, "if _, usedBefore := before[r.Service]; !usedBefore && s.uses(r.Service) {", "if false {"))},
	{"Acks: leavers", "over a fifth of those that leave have no acknowledgement", "a majority of disks, and no particular one", files(callersFile, departuresFile), scenarios("scale_in", "disk_stall", "disk_full"),
		mutation(controllerPackage, "TestDrainBesideStuckDisks", edit(callersFile, "if 2*n > len(c.members()) {", "if n == len(c.members()) {"))},
	{"Prices: held", "a request that is not served is held, and not offered", "what would be late is declined before it costs anything", files(admissionFile), scenarios("burst", "srv_crash all", "srv_slow across"),
		mutation(balancePackage, "TestScenarios/worth", edit(admissionFile, "if need-missing < least-epsilon {", "if false {"))},
	{"Prices: come back", "clients that are declined come back together and are declined again", "a time to come back with each decline, by lot", files(routingtableFile, clienthttpFile), scenarios("burst", "retry_abuse"),
		mutation(routingtablePackage, "TestComeBackSpreads", edit(routingtableFile, "return advice - int64(random*float64(advice)/2)", "return advice"))},
	{"Fault: memory", "a process grows over its limit and is killed", "what no connection is under any more is let go, as are rows, shards and replicas that are gone", files(serverFile, routingtableFile), scenarios("config_storm", "config_change idle"),
		mutation(clienthttpPackage, "TestLimitsThatChange", edit(serverFile, "	if !d.retired || d.open > 0 {\n", "	if d.retired || d.open > 0 {\n"))},
	{"Fault: disk", "the disk fills up, or a full one ends the process", "the file is written anew once it has grown; a refused one costs only room", files(statestoreFile), scenarios("disk_full", "config_storm"),
		mutation("transport/statestore", "TestDiskThatRefuses", edit(statestoreFile, "	if err := s.writeCopy(copyPath); err != nil {\n		os.Remove(copyPath)\n		return nil\n	}\n", "	if err := s.writeCopy(copyPath); err != nil {\n		return err\n	}\n"))},
}
