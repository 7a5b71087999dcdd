"""Runs the command line as ``python -m snipewell``."""

from .cli import main

main()
