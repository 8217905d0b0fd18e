"""How often a VM polls the platform's store."""

import dataclasses

# A view this old has missed a poll.
MIN_FULL_READ_AGE_MS = 2_500.0


@dataclasses.dataclass(frozen=True, slots=True)
class PollConfig:
    """Intervals of polling the store, in milliseconds.

    Attributes:
        interval_ms: Time from the start of one call to the start of the next.
            Calls are paid for; a change must be in force within two seconds.
        retry_initial_ms: Delay after the first failed call.
        retry_max_ms: Longest delay; the delay grows to it while calls fail.
        follower_retry_max_ms: The same for a VM for which others read the
            store, or that gets current data from them. They let it know when
            the store is back, and failed calls are paid for, too.
        full_read_age_ms: If the view is older than this, everything is read
            instead of the changes: the settings are then transferred once, and
            not once per change.
        malformed_grace_ms: How long a target may still be used after another
            client overwrote its entry with something malformed.
        restored_interval_ms: Used instead of `interval_ms` right after a
            restore, while lost entries are written again.
        restored_phase_ms: How long that interval is used.
        rewrite_ms: For this time after a restore, a read does not show that
            settings are current, as lost entries are still written again.
        stale_reread_ms: While the store lists targets from an older copy,
            everything is read again after this time. Each live target sends a
            heartbeat meanwhile.
        outage_ms: If the view was not known to be current for longer than this,
            the store is taken to have had an outage.
    """

    interval_ms: float = 1_300.0
    retry_initial_ms: float = 150.0
    retry_max_ms: float = 500.0
    follower_retry_max_ms: float = 2_000.0
    full_read_age_ms: float = MIN_FULL_READ_AGE_MS
    malformed_grace_ms: float = 1_500.0
    restored_interval_ms: float = 300.0
    restored_phase_ms: float = 2_000.0
    rewrite_ms: float = 1_000.0
    stale_reread_ms: float = 1_300.0
    outage_ms: float = MIN_FULL_READ_AGE_MS
