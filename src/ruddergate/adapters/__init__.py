"""One package per external system; only these packages know wire formats."""
