"""Set how long a caller's connection without a request in progress is left open."""

STOPPED_S = 0.05
"""Time without input after which a connection within a head, or without one, may be closed for
others where there are too many, in seconds; a crowd would keep others out for longer ones."""
KEPT_S = 2.0
"""The same for a connection that is kept between two requests, in seconds."""
FIRST_REQUEST_S = 0.25
"""Time that a new connection has for its first request once the server stops, in seconds."""
NEXT_REQUEST_S = 0.1
"""Time that a kept connection has for its next request after an answer that began before the server
stopped, and so did not announce the close, in seconds."""
