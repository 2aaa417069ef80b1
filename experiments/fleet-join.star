# Six in ten replicas are replaced within seven seconds, a third of each shard at a time; what has just started is cold for twelve.
experiment(name = "fleet-join", question = "Who serves while most of the fleet is cold?", seeds = 10, span = "22s", count_from = "1s",
           count_until = "21s")
fleet(aggregators = 300, replicas = 150, holders = 3, workers = 2, work = "35ms", unlike = 0.15, uneven = 1.0, room = 30, crowd = 0.2,
      crowd_at = 4, stop_every = "6s", stop_for = "180ms", expires = True, goes_on = True, keeps_place = True, tick = "1ms", list_delay = "700ms", cold_share = 0.2,
      cold_ramp = "12s")
queries(name = "lookup", rate = 0.65, parts = 12, goal = "250ms", patience = "850ms", burst = 1, burst_at = "8s", every = "100s", burst_for = "4s", retry = 0.5)
queries(name = "report", rate = 0.12, parts = 36, goal = "380ms", patience = "1s", revenue = 3, burst = 1, burst_at = "8s", every = "100s", burst_for = "4s", retry = 0.5)
[fault(kind = "drain", replicas = range(i * 30, i * 30 + 30), at = "%ds" % (4 + 3 * i), until = "%ds" % (6 + 3 * i)) for i in range(3)]
[fault(kind = "restart", replicas = range(i * 30, i * 30 + 30), at = "%ds" % (5 + 3 * i), until = "%ds" % (6 + 3 * i)) for i in range(3)]
variant(name = "module")
variant(name = "turns", policy = "turns")
variant(name = "least in flight", policy = "least")
variant(name = "oracle", policy = "oracle")
