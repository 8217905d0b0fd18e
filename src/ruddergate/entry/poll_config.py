"""How often a VM asks for what the platform's store publishes."""

import dataclasses

# A view this old has missed a round of calls.
MIN_FULL_READ_AGE_MS = 2_500.0


@dataclasses.dataclass(frozen=True, slots=True)
class PollConfig:
    """How often the store is asked, in milliseconds.

    Attributes:
        every_ms: Between the beginnings of two calls. Calls are paid for; a
            change must be in force within two seconds.
        wait_ms: Longest wait of a call for a change.
        retry_ms: After a call that failed.
        retry_most_ms: After many calls that failed; the pause grows to it.
        follower_retry_most_ms: The same for a VM that others read for, or
            that hears fresh proofs of them: they tell it when the store is
            back, and its calls are paid for also while the store is away.
        behind_ms: From a view this old on, all is read anew instead of the
            changes: the settings come once then, and not once a change.
        spoilt_grace_ms: How long targets may still be used whose entry another
            writer has spoilt.
        restored_every_ms: Between the beginnings of two calls right after a
            restore: what was lost is written again in that time.
        restored_for_ms: How long that lasts.
        rewrite_ms: After a restore, reads prove nothing of settings for so
            long: what the store has lost is written again meanwhile.
        stale_ms: Everything is read again after this time while the store lists
            targets as an older copy did; a heartbeat comes meanwhile.
        outage_ms: Time without an answer that counts as out of reach.
    """

    interval_ms: float = 1_300.0
    long_poll_ms: float = 0.0
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
