# Aggregators that share replica health through a Redis server and limit two customers by a quota over all aggregators.
load("customers.star", "customers")

shared_store(
    address = "127.0.0.1:6379",
    prefix = "toys",
    round = "500ms",
    deadline = "150ms",
)

for name, rate in customers.items():
    quota(customer = name, rate = rate, burst = 2 * rate)
