"""Estimates the load of one target from sources that lag behind."""

from collections.abc import Mapping
from collections.abc import Sequence
import math

from ruddergate.decisions import gap_class
from ruddergate.decisions import length_band
from ruddergate.decisions import own_work
from ruddergate.fleet import cache_event
from ruddergate.fleet import condition
from ruddergate.fleet import dispatched
from ruddergate.fleet import load_report
from ruddergate.fleet import target as targets
from ruddergate.settings import effective

# Peers' work on a target is taken to have ended when no digest from them has
# arrived for this long.
PEER_WORK_TTL_MS = 5_000.0
PEAK_HALF_LIFE_MS = 10_000.0
FAULT_PENALTY_MS = 5_000.0
# Peers' current streams and prefills on a target are unknown when no digest has
# arrived for this long.
PEER_LOAD_TTL_MS = 2_000.0
# Share of the planned prefill time that still counts as remaining until the
# first token arrives.
MIN_PREFILL_REMAINDER = 0.5
# For this long after a failure, a target counts as recently failed and long
# prompts prefer others: a target that dies stays listed for three heartbeats,
# about 4 s.
RECENT_FAULT_MS = 5_000.0
# A target that has answered this VM within this time is reachable, even if
# peers report it as lost.
RECENT_ANSWER_MS = 300.0
# A prefill that is overdue by more than this is expected to take as long again
# as it is overdue. An engine that hangs has few streams and would otherwise
# look the least loaded, so that all VMs of its hall would keep sending it
# requests. Batch iterations shared with decoding, and prediction errors, delay
# a prefill by less than this.
OVERDUE_SLACK_MS = 200.0
# Upper bound of that expectation: by then callers give up and other engines
# take over.
MAX_OVERDUE_MS = 4_000.0
# Other VMs' requests in a target's load report decay linearly to zero over this
# time: most answers to short prompts have ended by then.
REPORT_DECAY_MS = 1_500.0
MAX_PREFIXES = 4_096
# Share of the memory that may be allocated to requests; the rest absorbs what
# peers send in the meantime.
MAX_MEMORY_USE = 0.95

# Logged instead of an age when no digest or report has ever arrived.
_UNKNOWN = "unknown"
_NO_PENDING_TOKENS = (0.0,) * length_band.BANDS


class Estimate:
    """Estimated load of one target; owned by the scheduler task.

    The estimate starts from the target's last load report, less what it can
    have completed since, plus what this VM has dispatched since. The known open
    work of this VM and its peers is a lower bound. Without a load report, the
    estimate is that lower bound.

    Attributes:
        target: The target.
        pool: Effective settings of its pool.
        generation: Incarnation of the target, empty until known.
        draining: Whether it has reported that it accepts no new requests.
        open_until_ms: Circuit breaker: no requests are sent before this time.
        answered_ms: When an attempt of this VM last ended with an answer and
            without a fault of the target.
        faults: Consecutive failures.
        peak_ms: Peak-sensitive moving average of its response time.
    """

    def __init__(self, target: targets.Target, pool: effective.Pool) -> None:
        self.target = target
        self.pool = pool
        self.generation = ""
        self.draining = False
        self.open_until_ms = 0.0
        self.answered_ms = float("-inf")
        self._failed_until_ms = 0.0
        self.faults = 0
        self.peak_ms = 0.0
        self._peak_at_ms = 0.0
        self._report: load_report.LoadReport | None = None
        self._report_ms = 0.0
        self._other_streams = 0
        self._attempts: dict[str, own_work.OwnWork] = {}
        self._totals = own_work.Totals()
        self._since_report = own_work.Totals()
        self._peer_work = dispatched.Dispatched(target.target_id, (), 0, 0)
        self._peer_ms = float("-inf")
        self._prefixes: dict[str, int] = {}
        self._event_sequence = -1

    def is_usable(self, now_ms: float) -> bool:
        """Returns whether it accepts requests and its breaker is closed."""
        return self.accepts_requests() and now_ms >= self.open_until_ms

    def accepts_requests(self) -> bool:
        """Returns whether it accepts requests, whatever its breaker says."""
        return (
            not self.draining
            and self.target.condition is condition.Condition.LIVE
        )

    def begin_attempt(self, attempt_id: str, work: own_work.OwnWork) -> None:
        """Adds an attempt of this VM."""
        self._attempts[attempt_id] = work
        self._add_work(work, work.uncached_tokens, work.held_tokens, 1)

    def note_first_token(self, attempt_id: str, now_ms: float) -> bool:
        """Notes that an attempt's prefill has ended.

        Returns:
            Whether the prompt was long, so that peers need to know of the end:
            a short prefill is over before they learn of it.
        """
        work = self._attempts.get(attempt_id)
        if work is None or work.has_first_token:
            return False
        work.has_first_token = True
        self._failed_until_ms = 0.0
        self._add_work(work, -work.uncached_tokens, 0, 0)
        self.note_response(now_ms - work.sent_ms, now_ms)
        self.faults = 0
        return work.is_long

    def end_attempt(self, attempt_id: str) -> None:
        """Removes an attempt that has ended."""
        work = self._attempts.pop(attempt_id, None)
        if work is None:
            return
        open_tokens = 0 if work.has_first_token else work.uncached_tokens
        self._add_work(work, -open_tokens, -work.held_tokens, -1)

    def _add_work(
        self,
        work: own_work.OwnWork,
        open_tokens: int,
        held_tokens: int,
        streams: int,
    ) -> None:
        self._totals.add(work.band, open_tokens, held_tokens, streams)
        if self._report is not None and work.sent_ms > self._report_ms:
            self._since_report.add(work.band, open_tokens, held_tokens, streams)

    def note_response(self, response_ms: float, now_ms: float) -> None:
        """Updates the peak-sensitive average: rises at once, decays slowly."""
        elapsed_ms = now_ms - self._peak_at_ms
        keep = 0.5 ** (elapsed_ms / PEAK_HALF_LIFE_MS)
        self._peak_at_ms = now_ms
        if response_ms > self.peak_ms:
            self.peak_ms = response_ms
        else:
            self.peak_ms = self.peak_ms * keep + response_ms * (1.0 - keep)

    def note_fault(self, now_ms: float, penalize_latency: bool = True) -> None:
        """Notes a failure and opens the circuit breaker.

        Args:
            now_ms: Monotonic time.
            penalize_latency: Whether the failure also counts as a slow
                response, so that a target that fails fast does not look fast.
        """
        self.faults += 1
        if penalize_latency:
            self.note_response(FAULT_PENALTY_MS, now_ms)
        open_ms = min(8_000.0, 250.0 * 2.0 ** min(self.faults, 6))
        self.open_until_ms = now_ms + open_ms
        self._failed_until_ms = now_ms + RECENT_FAULT_MS

    def has_failed_recently(self, now_ms: float) -> bool:
        """Returns whether it failed recently without a first token since."""
        return now_ms < self._failed_until_ms

    def note_reported_lost(self, now_ms: float, open_ms: float) -> None:
        """Opens the breaker for `open_ms` after peers reported a loss.

        A target that has answered this VM recently stays as it is.
        """
        if now_ms - self.answered_ms > RECENT_ANSWER_MS:
            self.open_until_ms = max(self.open_until_ms, now_ms + open_ms)
            self._failed_until_ms = max(
                self._failed_until_ms, now_ms + RECENT_FAULT_MS
            )

    def apply_report(
        self, report: load_report.LoadReport, now_ms: float
    ) -> None:
        """Applies a load report of the target; drops outdated ones."""
        report_ms = now_ms - report.age_ms
        if report.generation != self.generation:
            self.generation = report.generation
            self.draining = False
            self._prefixes.clear()
            self._event_sequence = -1
        elif self._report is not None and report_ms < self._report_ms:
            return
        self._report = report
        self._report_ms = report_ms
        own_streams_then = sum(
            1 for w in self._attempts.values() if w.sent_ms <= report_ms
        )
        self._other_streams = max(0, report.running - own_streams_then)
        self._since_report = own_work.Totals()
        for work in self._attempts.values():
            if work.sent_ms > report_ms:
                uncached = 0 if work.has_first_token else work.uncached_tokens
                self._since_report.add(work.band, uncached, work.held_tokens, 1)
        # Draining is final for an incarnation; a late report can't undo it.
        self.draining = self.draining or report.draining

    def apply_peer_work(
        self, work: dispatched.Dispatched, now_ms: float
    ) -> None:
        """Replaces the sum of what other VMs have on the target."""
        self._peer_work = work
        self._peer_ms = now_ms

    def apply_cache_event(self, event: cache_event.CacheEvent) -> None:
        """Applies a cache event of the target.

        A gap in the sequence means that events were lost, evictions perhaps
        among them, so the older half of the known prefixes is dropped.
        """
        if event.sequence <= self._event_sequence:
            return
        if event.sequence != self._event_sequence + 1:
            self._drop_older_half()
        self._event_sequence = event.sequence
        if event.tokens > 0:
            self.note_prefix(event.prefix, event.tokens)
        else:
            self._prefixes.pop(event.prefix, None)

    def note_prefix(self, prefix: str, tokens: int) -> None:
        """Notes that the target has a prefix in its cache."""
        self._prefixes.pop(prefix, None)
        self._prefixes[prefix] = tokens
        if len(self._prefixes) > MAX_PREFIXES:
            del self._prefixes[next(iter(self._prefixes))]

    def cached_tokens(self, prefix: str) -> int:
        """Returns how many tokens of a prefix are probably cached."""
        return self._prefixes.get(prefix, 0) if prefix else 0

    def waiting_tokens(
        self, now_ms: float, band: int = length_band.BANDS - 1
    ) -> float:
        """Returns the estimated tokens to prefill before a prompt of a band.

        Prompts of shorter bands go first. Tokens whose band is unknown count as
        being ahead.
        """
        known = float(self._totals.all_open_tokens)
        ahead = float(sum(self._totals.open_tokens[: band + 1]))
        peers = self._peer_tokens(now_ms)
        if peers is not _NO_PENDING_TOKENS:
            known += sum(peers)
            ahead += sum(peers[: band + 1])
        if self._report is None:
            return ahead
        done = (now_ms - self._report_ms) * self.pool.prefill_tokens_per_s
        reported = self._report.waiting_tokens - done / 1000.0
        unknown = (
            max(0.0, reported) + self._since_report.all_open_tokens - known
        )
        return ahead + unknown if unknown > 0.0 else ahead

    def held_tokens(self, now_ms: float) -> int:
        """Returns the estimated memory in use."""
        known = self._totals.held_tokens
        if now_ms - self._peer_ms < PEER_WORK_TTL_MS:
            known += self._peer_work.held_tokens
        if self._report is None:
            return known
        return max(
            known, self._report.held_tokens + self._since_report.held_tokens
        )

    def free_tokens(self, now_ms: float) -> float:
        """Returns the memory that may still be allocated."""
        usable_tokens = self.pool.memory_tokens * MAX_MEMORY_USE
        return usable_tokens - self.held_tokens(now_ms)

    def streams(self, now_ms: float) -> int:
        """Returns the estimated number of requests in flight."""
        known = len(self._attempts)
        if now_ms - self._peer_ms < PEER_WORK_TTL_MS:
            known += self._peer_work.streams
        if self._report is None:
            return known
        return max(known, self._report.running + self._since_report.streams)

    def recent_streams(self, now_ms: float) -> float:
        """Returns the streams of this VM and others, as recently known.

        Other VMs' streams come from their digests or else from the target's
        last report, where they decay with its age.
        """
        own = self._own_decoding_streams()
        if now_ms - self._peer_ms < PEER_LOAD_TTL_MS:
            return float(own + self._peer_work.streams)
        decayed = (now_ms - self._report_ms) / REPORT_DECAY_MS
        if self._report is None or decayed >= 1.0:
            return float(own)
        return own + self._other_streams * (1.0 - max(0.0, decayed))

    def _own_decoding_streams(self) -> int:
        return sum(work.is_decoding for work in self._attempts.values())

    def streams_by_gap_class(self, now_ms: float) -> tuple[int, ...]:
        """Returns the streams of this VM and its peers by gap class."""
        own = self._own_streams_by_gap_class()
        peers = self._peer_work.streams_by_gap_class
        if now_ms - self._peer_ms >= PEER_LOAD_TTL_MS or len(peers) != len(own):
            return own
        return tuple(map(sum, zip(own, peers, strict=True)))

    def _own_streams_by_gap_class(self) -> tuple[int, ...]:
        counts = [0] * gap_class.CLASSES
        for work in self._attempts.values():
            counts[work.gap_class] += work.is_decoding
        return tuple(counts)

    def remaining_prefill_ms(self, now_ms: float) -> float:
        """Returns the predicted remaining time of all known prefills."""
        own_ms = self._own_remaining_prefill_ms(now_ms)
        age_ms = now_ms - self._peer_ms
        if age_ms >= PEER_LOAD_TTL_MS:
            return own_ms
        return own_ms + self._peer_work.prefill_ms

    def _own_remaining_prefill_ms(self, now_ms: float) -> float:
        waiting = [w for w in self._attempts.values() if not w.has_first_token]
        if not waiting:
            return 0.0
        elapsed_ms = now_ms - min(w.sent_ms for w in waiting)
        planned_ms = sum(w.prefill_ms for w in waiting)
        # A prefill that should have ended by now still has time remaining: it
        # waits for the end of a batch iteration or for other VMs' prefills.
        min_ms = planned_ms * MIN_PREFILL_REMAINDER
        overdue_ms = elapsed_ms - planned_ms - OVERDUE_SLACK_MS
        return max(
            min_ms,
            planned_ms - elapsed_ms,
            min(overdue_ms, MAX_OVERDUE_MS),
        )

    def longest_prefill_band(self, now_ms: float) -> int | None:
        """Returns the band of the longest prompt in prefill, or None."""
        peers: Sequence[int] = ()
        if now_ms - self._peer_ms < PEER_LOAD_TTL_MS:
            peers = self._peer_work.pending_tokens
        for band in reversed(range(length_band.BANDS)):
            if self._totals.open_tokens[band] or (
                band < len(peers) and peers[band]
            ):
                return band
        return None

    def own_streams(self) -> int:
        """Returns how many attempts this VM has open on the target."""
        return len(self._attempts)

    def longest_open_ms(self, now_ms: float) -> float:
        """Returns how long the oldest attempt of this VM has been open."""
        return max(
            (now_ms - w.sent_ms for w in self._attempts.values()), default=0.0
        )

    def long_prefill_tokens(self, now_ms: float) -> float:
        """Returns the tokens of long prompts in prefill on the target."""
        own = float(sum(self._totals.open_tokens[length_band.LONG_BAND :]))
        peers = self._peer_tokens(now_ms)
        if peers is _NO_PENDING_TOKENS:
            return own
        return own + sum(peers[length_band.LONG_BAND :])

    def summarize(self, now_ms: float) -> dispatched.Dispatched:
        """Returns this VM's own work on the target, to send to peers."""
        return dispatched.Dispatched(
            self.target.target_id,
            tuple(self._totals.open_tokens),
            self._totals.held_tokens,
            self._own_decoding_streams(),
            self._own_streams_by_gap_class(),
            self._own_remaining_prefill_ms(now_ms),
        )

    def describe(self, now_ms: float) -> str:
        """Returns the estimate for logs, with the age of its sources."""
        return (
            f"streams={self.recent_streams(now_ms):.1f} "
            f"own={len(self._attempts)} "
            f"prefill_ms={self.remaining_prefill_ms(now_ms):.0f} "
            f"peers_age_ms={_format_age(now_ms - self._peer_ms)} "
            f"report_age_ms={self._format_report_age(now_ms)}"
        )

    def _format_report_age(self, now_ms: float) -> str:
        if self._report is None:
            return _UNKNOWN
        return _format_age(now_ms - self._report_ms)

    def prefixes(self) -> Mapping[str, int]:
        """Returns the prefixes that are probably cached, with their tokens."""
        return self._prefixes

    def _peer_tokens(self, now_ms: float) -> Sequence[float]:
        """Returns the tokens that peers' prefills still have, by band."""
        age_ms = now_ms - self._peer_ms
        if age_ms >= PEER_WORK_TTL_MS or not self._peer_work.pending_tokens:
            return _NO_PENDING_TOKENS
        done = age_ms / 1000.0 * self.pool.prefill_tokens_per_s
        tokens = [0.0] * length_band.BANDS
        for band, pending in enumerate(self._peer_work.pending_tokens):
            tokens[band] = max(0.0, pending - done)
            done = max(0.0, done - pending)
        return tokens

    def _drop_older_half(self) -> None:
        for prefix in list(self._prefixes)[: len(self._prefixes) // 2]:
            del self._prefixes[prefix]


def _format_age(age_ms: float) -> str:
    """Returns an age for logs; infinite when nothing ever arrived."""
    return f"{age_ms:.0f}" if math.isfinite(age_ms) else _UNKNOWN
