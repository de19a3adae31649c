"""Measurements and the demo; not part of the shipped package."""
