"""Meet the outside: sockets, HTTP, the key-value service, peers and operators."""
