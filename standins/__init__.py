"""Emulate the external systems; each module runs as one small process on loopback."""
