"""Replay of request traces: outcomes, tables and plots."""
