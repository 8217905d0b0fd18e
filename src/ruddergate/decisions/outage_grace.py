"""How long to keep a target that the store does not list after an outage.

The target may be live and listed again by its next heartbeat, or it may have
been removed since the store came back. The store came back at some time between
the last sign that it was away and the first read that succeeded again.
"""

# Grace from that read on, after an outage and after a restore from an older
# copy: heartbeats since the return of the store are read within this time.
OUTAGE_GRACE_MS = 1_500.0
RESTORED_GRACE_MS = 1_700.0
# A target that was removed right after the return must get no requests from
# this long after the last sign that the store was away: by then this VM is
# required to know of the removal.
MAX_SINCE_AWAY_MS = 2_900.0
# Minimum grace. A VM that relies on the reads of its peers may have no recent
# sign of its own.
MIN_GRACE_MS = 1_000.0


def find_grace_end_ms(
    read_ms: float, away_ms: float, is_restored: bool
) -> float:
    """Returns until when a target that is missing may be used.

    After a plain outage that is how long live targets may take to be listed
    again; a restored store lacks only those that started since its copy.

    Args:
        read_ms: When the first successful read was processed.
        away_ms: When the store was last known to be away, or to be as it was
            before the restore.
        is_restored: Whether it was restored from an older copy.
    """
    if not is_restored:
        return read_ms + OUTAGE_GRACE_MS
    until_ms = min(read_ms + RESTORED_GRACE_MS, away_ms + MAX_SINCE_AWAY_MS)
    return max(until_ms, read_ms + MIN_GRACE_MS)
