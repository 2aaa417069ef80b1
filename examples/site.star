# A site "east" that forwards queries that it cannot serve to "west", and serves those that west forwards.
site(
    name = "east",
    listen = "127.0.0.1:8443",
    cert_file = "east.pem",
    key_file = "east.key",
    ca_file = "sites.pem",
    remember = "east.ids",
)

link(to = "west", gateways = ["127.0.0.1:9443", "127.0.0.1:9444"], queries = 80, bytes = "2MiB", cost = 0.1)
