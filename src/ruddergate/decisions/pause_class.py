"""Classes of answers by the pause that they bear between two events."""

import functools

from ruddergate.settings import effective

# Bounds of a route's longest pause, in milliseconds.
_BOUNDS_MS = (300.0, 650.0)
CLASSES = len(_BOUNDS_MS) + 1
# What an engine may read in one pass beside an answer of each class, where the
# routes' pauses are not known: the least of pauses of 200, 500 and 800 ms, less
# what `bears_ms` takes off.
BEARS_MS = (130.0, 420.0, 700.0)
# Part of a pause that is counted on: events come late by some milliseconds.
_PAUSE_PART = 0.95
# On the way to the caller, besides the pass itself: an event waits for a turn
# of two processes and two networks.
_ON_THE_WAY_MS = 17.0
# Answers that bear longer pauses belong to longer prompts and are worth more,
# here in answers of the first class.
WORTH = (1.0, 4.0, 12.0)


def find_class(pause_aim_ms: float) -> int:
    """Returns the class of a route's longest pause; 0 bears the least."""
    return sum(pause_aim_ms > bound_ms for bound_ms in _BOUNDS_MS)


def bears_ms(pool: effective.Pool) -> tuple[float, ...]:
    """Returns what an engine may read in a pass beside answers, by class.

    It is what the shortest of the class's pauses leaves beside a pass that
    reads nothing.
    """
    return _bears_ms(pool.pause_slos_ms, pool.iteration_ms)


@functools.lru_cache(maxsize=64)
def _bears_ms(
    pause_slos_ms: tuple[float, ...], iteration_ms: float
) -> tuple[float, ...]:
    found = list(BEARS_MS)
    for aim_ms in sorted(pause_slos_ms, reverse=True):
        left_ms = aim_ms * _PAUSE_PART - iteration_ms - _ON_THE_WAY_MS
        found[find_class(aim_ms)] = max(0.0, left_ms)
    return tuple(found)
