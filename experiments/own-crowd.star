# A crowd of ten times what the aggregators themselves can serve, for five seconds; clients whose queries get no answer ask again soon.
# Without knowing their strain they fall behind, and the repeats keep them there after the crowd has gone.
experiment(name = "own-crowd", question = "What is kept, and does it end, when aggregators themselves are what falls behind?", seeds = 10,
           span = "50s", count_from = "10s", count_until = "48s")
fleet(aggregators = 4, replicas = 80, holders = 4, work = "5ms", own_query = "300us", own_reply = "50us", own_refusal = "20us")
queries(name = "cheap", rate = 800, parts = 4, goal = "250ms", patience = "1s", insist = 0.9, retry = 0.9,
        burst = 10, burst_at = "15s", every = "100s", burst_for = "5s")
queries(name = "dear", rate = 80, parts = 4, goal = "250ms", patience = "1s", revenue = 10, insist = 0.9, retry = 0.9,
        burst = 10, burst_at = "15s", every = "100s", burst_for = "5s")
variant(name = "module")
variant(name = "model", strain = "model")
variant(name = "aimd", strain = "aimd")
variant(name = "gradient", strain = "gradient")
variant(name = "fixed", strain = "fixed")
