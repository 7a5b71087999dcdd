"""Soak test: the production programs as processes, with seeded faults injected from outside."""
