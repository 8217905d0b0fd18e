"""Fakes of external systems, and test tools; not part of the product."""
