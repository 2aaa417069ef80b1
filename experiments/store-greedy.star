# One of five customers asks three times its quota for twenty seconds, of a fleet that is busy already.
experiment(name = "store-greedy", question = "Do quotas that are kept together protect the other customers?", span = "34s", count_from = "8s", count_until = "28s", seeds = 10)
fleet(aggregators = 100, replicas = 60, holders = 5, work = "58ms", spread = 0.35)
queries(name = "greedy", rate = 1.0, parts = 4, goal = "400ms", patience = "1500ms", burst = 3.3, burst_at = "8s", every = "60s",
        burst_for = "20s", quota = 110)
for name in ["b", "c", "d", "e"]:
    queries(name = name, rate = 0.375, parts = 4, goal = "400ms", patience = "1500ms", quota = 42)
variant(name = "no store", store = "none")
variant(name = "good", store = "good")
variant(name = "2 s late", store = "late")
variant(name = "flapping", store = "flapping")
variant(name = "stale", store = "stale")
variant(name = "one liar", store = "liar")
variant(name = "vanished", store = "vanished")
