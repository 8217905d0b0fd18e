"""How long a target is kept that the store does not list after an outage.

It may live and be listed again with its next heartbeat, or have left since the
store is back. When the store came back is known only to lie between the last
sign that it was away and the first read that showed it again.
"""

# From the read on: heartbeats since the return are read within this time.
LAPSED_MS = 1_500.0
RESTORED_MS = 1_700.0
# A target that left right after the return is to get no calls once the VM is
# held to know of it, so many milliseconds after the last sign before it.
AWAY_MOST_MS = 2_900.0
# A VM that has no sign of its own for long goes by its peers' reads.
LEAST_MS = 1_000.0


def find_grace_end_ms(
    read_ms: float, away_ms: float, is_restored: bool
) -> float:
    """Returns until when a target that is missing may be used.

    After a plain outage that is how long live targets may take to be back; a
    restored store lacks only those that started since the copy.

    Args:
        read_ms: When the first read was taken in.
        away_ms: When the store was last known to be away, or as it was before.
        is_restored: Whether it was restored from an older copy.
    """
    if not is_restored:
        return read_ms + LAPSED_MS
    until_ms = min(read_ms + RESTORED_MS, away_ms + AWAY_MOST_MS)
    return max(until_ms, read_ms + LEAST_MS)
