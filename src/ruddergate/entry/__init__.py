"""The entry process: admits, queues, routes, retries and streams requests."""
