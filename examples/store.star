# A fleet that shares what it knows through a Redis server, and keeps two customers' quotas over all aggregators.
load("customers.star", "customers")

shared_store(
    address = "127.0.0.1:6379",
    prefix = "toys",
    round = "500ms",
    deadline = "150ms",
)

for name, rate in customers.items():
    quota(customer = name, rate = rate, burst = 2 * rate)
