"""Soak test: run a fleet of daemons under random injected faults and check invariants."""
