"""Name the store keys with which the operator evacuates data centres."""

from __future__ import annotations

EVACUATION_PREFIX = "op/evacuate/"
"""Prefix of the keys of evacuations, followed by the data centre; their value says nothing."""
