"""Stand-ins and processes that the cases of this review share."""
