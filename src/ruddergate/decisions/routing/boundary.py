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
SHORT_FILL = 0.625
# Places of an engine that does not tell them.
PLACES_UNTOLD = 8
# Engines that either region of a hall keeps, whatever the other one needs.
REGION_LEAST = 1
# Engines in front of the boundary besides those that short prompts fill: for
# what VMs do not know of each other yet. With a whole one in each hall, long
# prompts had too few engines when there were many of them.
FRONT_SPARE = 0.25


def find_long_region(
    candidates: Sequence[estimates.Estimate], now_ms: float
) -> frozenset[str]:
    """Returns the engines at the back that short prompts do not need now."""
    by_hall: dict[str, list[estimates.Estimate]] = {}
    for each in candidates:
        by_hall.setdefault(each.target.hall, []).append(each)
    found: list[str] = []
    for engines in by_hall.values():
        found += _find_long_region_of_hall(engines, now_ms)
    return frozenset(found)


def _find_long_region_of_hall(
    engines: Sequence[estimates.Estimate], now_ms: float
) -> Sequence[str]:
    ranked = sorted((each.target.target_id for each in engines), key=_rank_of)
    streams = sum(each.streams_by_gap_class(now_ms)[0] for each in engines)
    places = [each.target.streams_max or PLACES_UNTOLD for each in engines]
    fill = SHORT_FILL * sum(places) / len(places)
    needed = math.ceil(streams / fill + FRONT_SPARE)
    least = min(REGION_LEAST, len(ranked) // 2)
    needed = max(least, min(len(ranked) - least, needed))
    return ranked[needed:]


def _rank_of(target_id: str) -> int:
    return zlib.crc32(target_id.encode())
