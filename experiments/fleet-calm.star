# Three hundred aggregators that see one query a second each; no fault but the pauses that replicas make, and a burst of half as much again.
experiment(name = "fleet-calm", question = "What does a burst cost where each aggregator meets a replica once in some seconds?", seeds = 10, span = "22s", count_from = "1s",
           count_until = "21s")
fleet(aggregators = 300, replicas = 150, holders = 3, workers = 2, work = "35ms", unlike = 0.15, uneven = 1.0, room = 30, crowd = 0.2,
      crowd_at = 4, stop_every = "6s", stop_for = "180ms", expires = True, goes_on = True, keeps_place = True, tick = "1ms", list_delay = "700ms", cold_share = 0.2,
      cold_ramp = "12s")
queries(name = "lookup", rate = 0.65, parts = 12, goal = "250ms", patience = "850ms", burst = 1.5, burst_at = "8s", every = "100s", burst_for = "4s", retry = 0.5)
queries(name = "report", rate = 0.12, parts = 36, goal = "380ms", patience = "1s", revenue = 3, burst = 1.5, burst_at = "8s", every = "100s", burst_for = "4s", retry = 0.5)
variant(name = "module")
variant(name = "turns", policy = "turns")
variant(name = "least in flight", policy = "least")
variant(name = "oracle", policy = "oracle")
