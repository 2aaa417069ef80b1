# A site is dark, and half of the other's gateways die for ten seconds in the middle of it.
experiment(name = "sites-crash", question = "What does it cost when gateways die that queries are carried to?", span = "100s",
           count_from = "30s", count_until = "70s", seeds = 5)
fleet(aggregators = 8, replicas = 48, holders = 4, sites = 2, work = "50ms")
link(way = "80ms", loss = 0.01, queries = 40)
queries(name = "look", rate = 7, parts = 2, goal = "1500ms", patience = "3s")
queries(name = "pay", rate = 7, parts = 2, goal = "1500ms", patience = "3s", effect = "once_only", revenue = 5)
fault(kind = "hang", replicas = range(0, 24), at = "30s", until = "70s")
fault(kind = "crash", aggregators = [1, 5], at = "45s", until = "55s")
variant(name = "no gateway")
variant(name = "plan", route = "plan")
variant(name = "all that is declined", route = "all")
