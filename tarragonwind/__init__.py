"""Schedule requests over unlike back ends: entry daemons and the coordination parts they use."""
