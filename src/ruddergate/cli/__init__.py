"""Command lines of the programs."""
