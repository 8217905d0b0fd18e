"""Calls that are passed on unchanged: what the parts tell each other."""
