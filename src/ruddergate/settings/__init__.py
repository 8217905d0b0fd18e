"""The settings tree that operators edit: schema, validation, inheritance."""
