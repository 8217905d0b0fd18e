"""Load of targets, as reported by targets and by peers."""

import dataclasses

from ruddergate.fleet import cache_event
from ruddergate.fleet import dispatched
from ruddergate.fleet import load_report


@dataclasses.dataclass(frozen=True, slots=True)
class Loads:
    """Load that an agent has learned of since its last message.

    Attributes:
        reports: Load reports of targets.
        peers: Work in flight from other VMs, summed by target.
        events: Changes in prefix caches.
    """

    reports: tuple[load_report.LoadReport, ...]
    peers: tuple[dispatched.Dispatched, ...]
    events: tuple[cache_event.CacheEvent, ...]
