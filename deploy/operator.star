# The operator's file of the platform. What else can be switched on: `willowsill check --help`, and docs/store.md for the shared
# store, which this platform does not give.

zones()    # a zone out of reach is found out by three replicas of it that fail, and passed over
