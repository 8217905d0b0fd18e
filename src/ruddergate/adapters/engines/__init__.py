"""Model engines: streams, memory, load, cache events and orders."""
