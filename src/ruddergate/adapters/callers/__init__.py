"""The HTTP API for callers: OpenAI-compatible, and a path for services."""
