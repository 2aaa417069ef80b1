# What a hunt from the calm fleet found to harm it most (hunt seed 1, 94 schedules): three holders of a shard work nearly seven
# times longer and the fourth drains, so that none is sound.
experiment(name = "hunted", question = "What is earned where a shard has no sound holder?", span = "24s", count_from = "4s",
           count_until = "22s", seeds = 10)
fleet(aggregators = 8, replicas = 24, holders = 4)
queries(name = "look", rate = 20, parts = 3, goal = "250ms", patience = "1200ms", floor = 0.6)
queries(name = "pay", rate = 3, parts = 2, goal = "300ms", patience = "1500ms", effect = "once_only", revenue = 5)
fault(kind = "slow", replicas = [4, 16, 22], at = "14.3s", until = "21.6s", times = 6.67)
fault(kind = "drain", replicas = [10], at = "13.6s", until = "21s")
variant(name = "module")
variant(name = "random", policy = "random")
variant(name = "least in flight", policy = "least")
variant(name = "better of two", policy = "two")
variant(name = "fading mean", policy = "ewma")
variant(name = "oracle", policy = "oracle")
