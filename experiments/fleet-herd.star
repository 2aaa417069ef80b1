# A release of a third of the replicas; seven in ten aggregators die at once; one of eight replicas answers with errors.
experiment(name = "fleet-herd", question = "What do aggregators that know nothing yet do to a fleet that is half cold?", seeds = 10, span = "22s", count_from = "1s",
           count_until = "21s")
fleet(aggregators = 300, replicas = 150, holders = 3, workers = 2, work = "35ms", unlike = 0.15, uneven = 1.0, room = 30, crowd = 0.2,
      crowd_at = 4, stop_every = "6s", stop_for = "180ms", expires = True, goes_on = True, keeps_place = True, tick = "1ms", list_delay = "700ms", cold_share = 0.2,
      cold_ramp = "12s")
queries(name = "lookup", rate = 0.65, parts = 12, goal = "250ms", patience = "850ms", burst = 1, burst_at = "8s", every = "100s", burst_for = "4s", retry = 0.5)
queries(name = "report", rate = 0.12, parts = 36, goal = "380ms", patience = "1s", revenue = 3, burst = 1, burst_at = "8s", every = "100s", burst_for = "4s", retry = 0.5)
[fault(kind = "restart", replicas = range(i * 25, i * 25 + 25), at = "%ds" % (4 + 3 * i), until = "%ds" % (5 + 3 * i)) for i in range(2)]
fault(kind = "crash", aggregators = range(0, 210), at = "9s", until = "9500ms")
fault(kind = "errors", replicas = range(100, 118), at = "5s", until = "16s")
variant(name = "module")
variant(name = "turns", policy = "turns")
variant(name = "least in flight", policy = "least")
variant(name = "oracle", policy = "oracle")
