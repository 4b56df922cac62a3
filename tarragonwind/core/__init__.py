"""Decide without input or output: state machines that take time and randomness as arguments."""
