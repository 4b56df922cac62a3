"""Stand in for the outside systems: each module runs as one small process on loopback."""
