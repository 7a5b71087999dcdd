"""A fault soak: the real programs as processes, with faults from outside drawn by a seed."""
