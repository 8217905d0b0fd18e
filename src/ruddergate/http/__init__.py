"""HTTP/1.1 client and server, on streams and h11."""
