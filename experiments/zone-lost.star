# A zone is lost and the list tells of it three to six seconds late; it returns cold.
experiment(name = "zone-lost", question = "What do aggregators make of a zone that is lost, before the list tells?", seeds = 10, span = "22s", count_from = "1s",
           count_until = "21s")
fleet(aggregators = 300, replicas = 150, holders = 3, zones = 2, workers = 2, work = "35ms", unlike = 0.15, uneven = 1.0, room = 30, crowd = 0.2,
      crowd_at = 4, stop_every = "6s", stop_for = "180ms", expires = True, goes_on = True, keeps_place = True, tick = "1ms", list_delay = "3s", cold_share = 0.2,
      cold_ramp = "12s")
queries(name = "lookup", rate = 0.4, parts = 12, goal = "250ms", patience = "850ms", retry = 0.5)
queries(name = "report", rate = 0.07, parts = 36, goal = "380ms", patience = "1s", revenue = 3, retry = 0.5)
fault(kind = "restart", replicas = range(0, 75), at = "6s", until = "11s")
variant(name = "module")
variant(name = "zones watched", watch_zones = True)
variant(name = "turns", policy = "turns")
variant(name = "oracle", policy = "oracle")
