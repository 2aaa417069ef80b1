# Once-only queries beside repeatable ones while one replica hangs and one fails. What tries whether a sick replica is well
# again may be lost; a once-only query that is lost cannot be tried elsewhere.
experiment(name = "once-mixed", question = "Who pays for trying whether sick replicas are well again?", seeds = 10)
fleet(aggregators = 10, replicas = 40, holders = 4)
queries(name = "pay", rate = 8, parts = 2, goal = "250ms", patience = "1500ms", effect = "once_only", revenue = 5)
queries(name = "look", rate = 20, parts = 3, goal = "250ms", patience = "1500ms")
fault(kind = "hang", replicas = [0], at = "12s", until = "32s")
fault(kind = "errors", replicas = [5], at = "12s", until = "32s")
variant(name = "module")
variant(name = "random", policy = "random")
variant(name = "least in flight", policy = "least")
variant(name = "oracle", policy = "oracle")
