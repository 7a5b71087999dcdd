"""Measurements: the simulation of placement policies, and the bench of the real processes."""
