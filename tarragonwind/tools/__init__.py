"""Help the command line."""
