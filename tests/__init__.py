"""Test the package; each module mirrors one of it."""
