# Queries a second that each customer may ask for over all aggregators. Loaded by store.star.
customers = {"acme": 40, "souq": 15}
