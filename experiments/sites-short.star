# The same where the other site has room for a third of what the dark one cannot serve.
experiment(name = "sites-short", question = "What is left when a site goes dark and the other is short itself?", span = "100s",
           count_from = "30s", count_until = "70s", seeds = 5)
fleet(aggregators = 8, replicas = 48, holders = 4, sites = 2, work = "180ms")
link(way = "80ms", loss = 0.01, queries = 40)
queries(name = "look", rate = 7, parts = 2, goal = "1500ms", patience = "3s")
queries(name = "book", rate = 7, parts = 2, goal = "1500ms", patience = "3s", effect = "tagged", revenue = 2)
queries(name = "pay", rate = 7, parts = 2, goal = "1500ms", patience = "3s", effect = "once_only", revenue = 5)
fault(kind = "hang", replicas = range(0, 24), at = "30s", until = "70s")
variant(name = "no gateway")
variant(name = "plan", route = "plan")
variant(name = "all that is declined", route = "all")
variant(name = "half and half", route = "half")
