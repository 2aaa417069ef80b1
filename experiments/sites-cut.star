# A site is dark, and the link is cut in silence for the second half of it.
experiment(name = "sites-cut", question = "What does a cut cost while queries are carried?", span = "100s", count_from = "30s",
           count_until = "70s", seeds = 5)
fleet(aggregators = 8, replicas = 48, holders = 4, sites = 2, work = "50ms")
link(way = "80ms", loss = 0.01, queries = 40)
queries(name = "look", rate = 7, parts = 2, goal = "1500ms", patience = "3s")
queries(name = "pay", rate = 7, parts = 2, goal = "1500ms", patience = "3s", effect = "once_only", revenue = 5)
fault(kind = "hang", replicas = range(0, 24), at = "30s", until = "70s")
fault(kind = "cut", sites = [0], at = "50s", until = "60s")
variant(name = "no gateway")
variant(name = "plan", route = "plan")
variant(name = "all that is declined", route = "all")
variant(name = "half and half", route = "half")
