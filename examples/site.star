# A site "east" that carries what it cannot serve to "west", and takes in what west cannot.
site(
    name = "east",
    listen = "127.0.0.1:8443",
    cert_file = "east.pem",
    key_file = "east.key",
    ca_file = "sites.pem",
    remember = "east.ids",
)

link(to = "west", gateways = ["127.0.0.1:9443", "127.0.0.1:9444"], queries = 80, bytes = "2MiB", cost = 0.1)
