# The operator's file of the platform: nothing is switched on here.
#
# What can be: `willowsill check --help`, and docs/store.md for the shared store, which this platform does not give.
