"""Messages between the system's own processes, as typed data classes.

The order of fields is the wire format, see wire/codec.py.
"""
