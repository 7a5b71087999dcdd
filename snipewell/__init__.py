"""A dispatcher for sub-second tasks that answers for outcomes."""
