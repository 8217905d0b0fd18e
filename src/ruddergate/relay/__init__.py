"""Types shared by the parts that relay requests to targets unchanged."""
