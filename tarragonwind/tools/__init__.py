"""Command line of operators and daemons."""
