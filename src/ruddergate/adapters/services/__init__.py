"""Plain services: targets that are not engines."""
