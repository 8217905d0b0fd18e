"""Classes of answers by the pause that they bear between two events."""

# Bounds of a route's longest pause, in milliseconds.
_BOUNDS_MS = (300.0, 650.0)
CLASSES = len(_BOUNDS_MS) + 1
# What an engine may read in one pass beside an answer of each class: the least
# pause of the class's routes today (200, 500, 800 ms), less a pass without any
# reading (about 55 ms) and a margin.
BEARS_MS = (130.0, 420.0, 700.0)
# Answers that bear longer pauses belong to longer prompts and are worth more,
# here in answers of the first class.
WORTH = (1.0, 4.0, 12.0)


def find_class(pause_aim_ms: float) -> int:
    """Returns the class of a route's longest pause; 0 bears the least."""
    return sum(pause_aim_ms > bound_ms for bound_ms in _BOUNDS_MS)
