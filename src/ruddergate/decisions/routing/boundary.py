"""Where short prompts end and long ones begin, in the engines of each hall.

All VMs rank the engines of a hall alike, by a hash of their names, and without
a message between them short prompts fill the ranking from its front and long
ones from its back. The boundary follows the short prompts in flight.
"""

from collections.abc import Sequence
import math
import zlib

from ruddergate.decisions import estimate as estimates

# Part of an engine's places that the front region is to have taken: the rest is
# left for what VMs do not know of each other yet, and a pass stays short.
SHORT_REGION_FILL = 0.625
# Places of an engine that does not tell them.
DEFAULT_SLOTS = 8
# Engines that either region of a hall keeps, whatever the other one needs.
MIN_REGION_ENGINES = 1
# Engines in front of the boundary besides those that short prompts fill: for
# what VMs do not know of each other yet. With a whole one in each hall, long
# prompts had too few engines when there were many of them.
SPARE_SHORT_ENGINES = 0.25


def find_long_region(
    candidates: Sequence[estimates.Estimate], now_ms: float
) -> frozenset[str]:
    """Returns the engines at the back that short prompts do not need now."""
    by_hall: dict[str, list[estimates.Estimate]] = {}
    for estimate in candidates:
        by_hall.setdefault(estimate.target.hall, []).append(estimate)
    found: list[str] = []
    for engines in by_hall.values():
        found += _find_long_region_of_hall(engines, now_ms)
    return frozenset(found)


def _find_long_region_of_hall(
    engines: Sequence[estimates.Estimate], now_ms: float
) -> Sequence[str]:
    ranked = sorted(
        (estimate.target.target_id for estimate in engines), key=_rank_target
    )
    streams = sum(
        estimate.streams_by_gap_class(now_ms)[0] for estimate in engines
    )
    slots = [
        estimate.target.streams_max or DEFAULT_SLOTS for estimate in engines
    ]
    fill = SHORT_REGION_FILL * sum(slots) / len(slots)
    short_engines = math.ceil(streams / fill + SPARE_SHORT_ENGINES)
    min_engines = min(MIN_REGION_ENGINES, len(ranked) // 2)
    short_engines = max(
        min_engines, min(len(ranked) - min_engines, short_engines)
    )
    return ranked[short_engines:]


def _rank_target(target_id: str) -> int:
    return zlib.crc32(target_id.encode())
