"""Divides the engines of each hall into a short and a long region.

All VMs rank the engines of a hall by the same hash of their names, so without
any coordination short prompts fill the ranking from the front and long ones
from the back. The boundary between them follows the number of short prompts in
flight.
"""

from collections.abc import Sequence
import math
import zlib

from ruddergate.decisions import estimate as estimates

# Share of an engine's slots that the short region aims to fill. The rest is for
# requests that VMs do not know of each other yet, and keeps batch iterations
# short.
SHORT_REGION_FILL = 0.625
# Slots of an engine that does not report its number of slots.
DEFAULT_SLOTS = 8
# Engines that each region of a hall keeps, whatever the other one needs.
MIN_REGION_ENGINES = 1
# Engines of the short region beyond those that short prompts fill, for requests
# that VMs do not know of each other yet. A whole engine in each hall left too
# few to long prompts when there were many of them.
SPARE_SHORT_ENGINES = 0.25


def find_long_region(
    candidates: Sequence[estimates.Estimate], now_ms: float
) -> frozenset[str]:
    """Returns the engines that short prompts do not need now."""
    by_hall: dict[str, list[estimates.Estimate]] = {}
    for estimate in candidates:
        by_hall.setdefault(estimate.target.hall, []).append(estimate)
    target_ids: list[str] = []
    for engines in by_hall.values():
        target_ids += _find_long_region_in_hall(engines, now_ms)
    return frozenset(target_ids)


def _find_long_region_in_hall(
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
