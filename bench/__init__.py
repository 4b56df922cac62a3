"""Measure the product: paired runs, experiments and capacity slopes."""
