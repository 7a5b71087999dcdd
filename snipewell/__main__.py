"""Entry point of ``python -m snipewell``: runs the command-line interface."""

from .cli import main

main()
