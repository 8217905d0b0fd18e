"""Encoding of messages between the system's own processes, and framing."""
