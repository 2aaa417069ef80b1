# Nothing befalls anybody: the ground that hunts start from, and a check that all policies are alike where nothing is wrong.
experiment(name = "calm", question = "What does each policy earn where nothing is wrong?", span = "24s", count_from = "4s",
           count_until = "22s", seeds = 5)
fleet(aggregators = 8, replicas = 24, holders = 4)
queries(name = "look", rate = 20, parts = 3, goal = "250ms", patience = "1200ms", floor = 0.6)
queries(name = "pay", rate = 3, parts = 2, goal = "300ms", patience = "1500ms", effect = "once_only", revenue = 5)
variant(name = "module")
variant(name = "random", policy = "random")
variant(name = "oracle", policy = "oracle")
