# Quota of each customer over all aggregators, in queries a second. Loaded by store.star.
customers = {"acme": 40, "souq": 15}
