"""Classes of streams by the longest gap between events that they tolerate."""

import functools

from ruddergate.settings import effective

# Upper bounds of the gap SLO of the classes below the last one.
_BOUNDS_MS = (300.0, 650.0)
CLASSES = len(_BOUNDS_MS) + 1
# Longest prefill in one batch iteration that streams of each class tolerate
# when the routes' gap SLOs are unknown. They stand for gap SLOs of 200, 500 and
# 800 ms, less about what `find_prefill_budgets_ms` subtracts.
DEFAULT_PREFILL_BUDGETS_MS = (130.0, 420.0, 700.0)
# Usable share of a gap SLO: events arrive some milliseconds late.
_USABLE_GAP_SHARE = 0.95
# Delay of an event on its way to the caller, on top of the batch iteration: it
# passes through two processes and two networks.
_DELIVERY_MS = 17.0
# Value of an answer of each class, relative to the first. Streams that tolerate
# longer gaps belong to longer prompts and are worth more.
VALUES = (1.0, 4.0, 12.0)


def find_class(gap_slo_ms: float) -> int:
    """Returns the class of a gap SLO; 0 tolerates the shortest gaps."""
    return sum(gap_slo_ms > bound_ms for bound_ms in _BOUNDS_MS)


def find_prefill_budgets_ms(pool: effective.Pool) -> tuple[float, ...]:
    """Returns the longest prefill per batch iteration, by gap class.

    It is what the shortest gap SLO of the class leaves beside an iteration
    without any prefill.
    """
    return _compute_prefill_budgets_ms(pool.gap_slos_ms, pool.iteration_ms)


@functools.lru_cache(maxsize=64)
def _compute_prefill_budgets_ms(
    gap_slos_ms: tuple[float, ...], iteration_ms: float
) -> tuple[float, ...]:
    budgets_ms = list(DEFAULT_PREFILL_BUDGETS_MS)
    for gap_slo_ms in sorted(gap_slos_ms, reverse=True):
        remaining_ms = (
            gap_slo_ms * _USABLE_GAP_SHARE - iteration_ms - _DELIVERY_MS
        )
        budgets_ms[find_class(gap_slo_ms)] = max(0.0, remaining_ms)
    return tuple(budgets_ms)
