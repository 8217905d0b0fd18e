"""What a VM believes about one target's load, from lagged sources."""

from collections.abc import Mapping
from collections.abc import Sequence
import math

from ruddergate.decisions import length_band
from ruddergate.decisions import own_work
from ruddergate.decisions import pause_class
from ruddergate.fleet import cache_event
from ruddergate.fleet import condition
from ruddergate.fleet import dispatched
from ruddergate.fleet import load_report
from ruddergate.fleet import target as targets
from ruddergate.settings import effective

# After this time without news, peers' work is taken to have ended.
PEER_NEWS_MS = 5_000.0
PEAK_HALF_LIFE_MS = 10_000.0
FAULT_PENALTY_MS = 5_000.0
# Without digests for this long, what peers have on a target is not known.
PEER_LOADS_MS = 2_000.0
# Part of a planned prefill that still counts until its first token is seen.
PREFILL_REST_LEAST = 0.5
# For so long after a failure a target is left to work that loses little by
# another one: targets that die stay listed for three heartbeats, about 4 s.
DOUBT_MS = 5_000.0
# What has answered this VM within this time is not lost, whatever peers say.
LATELY_MS = 300.0
# A prefill that is overdue by more than this is taken to last as long again as
# it is overdue: an engine that hangs has few answers and looked the idlest, so
# that all VMs of its hall sent it call after call. Passes beside answers and
# errors of prediction take less.
OVERDUE_SLACK_MS = 200.0
# And for no longer than this: callers give up, and others take over.
OVERDUE_MOST_MS = 4_000.0
# What a target told of other VMs' requests fades over this time: most answers
# of short prompts have ended by then.
REPORT_FADES_MS = 1_500.0
PREFIXES_MAX = 4_096
# Memory that may be promised; the rest absorbs what peers send meanwhile.
MEMORY_USE_MAX = 0.95

# What logs say of the age of news that never came.
_UNKNOWN = "unknown"
_NOTHING_OPEN = (0.0,) * length_band.BANDS


class Estimate:
    """One target's believed load; owned by the scheduler task.

    The base is the target's last account, less what it can have done since,
    plus what this VM has sent since. Own and peers' open work is a lower
    bound of it. Without any account, only the bound counts.

    Attributes:
        target: The target.
        pool: Effective settings of its pool.
        generation: Its incarnation, empty until known.
        draining: Whether it said that it takes no new work.
        open_until_ms: Circuit breaker: no work before this time.
        answered_ms: When it last did its part for this VM.
        faults: Failures in a row.
        peak_ms: Peak-sensitive moving average of its response time.
    """

    def __init__(self, target: targets.Target, pool: effective.Pool) -> None:
        self.target = target
        self.pool = pool
        self.generation = ""
        self.draining = False
        self.open_until_ms = 0.0
        self.answered_ms = float("-inf")
        self._doubted_until_ms = 0.0
        self.faults = 0
        self.peak_ms = 0.0
        self._peak_at_ms = 0.0
        self._report: load_report.LoadReport | None = None
        self._report_ms = 0.0
        self._others_streams = 0
        self._own: dict[str, own_work.OwnWork] = {}
        self._totals = own_work.Totals()
        self._since = own_work.Totals()
        self._peer = dispatched.Dispatched(target.target_id, (), 0, 0)
        self._peer_ms = float("-inf")
        self._prefixes: dict[str, int] = {}
        self._event_number = -1

    def is_usable(self, now_ms: float) -> bool:
        """Returns whether new work may be sent to it and had better be."""
        return self.may_take_work() and now_ms >= self.open_until_ms

    def may_take_work(self) -> bool:
        """Returns whether new work may be sent to it, however it fares."""
        return (
            not self.draining
            and self.target.condition is condition.Condition.LIVE
        )

    def begin(self, attempt_id: str, work: own_work.OwnWork) -> None:
        """Notes an attempt of this VM."""
        self._own[attempt_id] = work
        self._count(work, work.fresh_tokens, work.held_tokens, 1)

    def first_token(self, attempt_id: str, now_ms: float) -> bool:
        """Notes that an attempt's prefill has ended.

        Returns whether that makes a difference to other prompts here: the
        prefill of a short one is over before others hear of its end.
        """
        work = self._own.get(attempt_id)
        if work is None or work.has_first_token:
            return False
        work.has_first_token = True
        self._doubted_until_ms = 0.0
        self._count(work, -work.fresh_tokens, 0, 0)
        self.note_response(now_ms - work.sent_ms, now_ms)
        self.faults = 0
        return work.is_long

    def end(self, attempt_id: str) -> None:
        """Notes that an attempt has ended."""
        work = self._own.pop(attempt_id, None)
        if work is None:
            return
        open_tokens = 0 if work.has_first_token else work.fresh_tokens
        self._count(work, -open_tokens, -work.held_tokens, -1)

    def _count(
        self,
        work: own_work.OwnWork,
        open_tokens: int,
        held_tokens: int,
        streams: int,
    ) -> None:
        self._totals.add(work.band, open_tokens, held_tokens, streams)
        if self._report is not None and work.sent_ms > self._report_ms:
            self._since.add(work.band, open_tokens, held_tokens, streams)

    def note_response(self, took_ms: float, now_ms: float) -> None:
        """Feeds the peak-sensitive average: up at once, down slowly."""
        passed_ms = now_ms - self._peak_at_ms
        keep = 0.5 ** (passed_ms / PEAK_HALF_LIFE_MS)
        self._peak_at_ms = now_ms
        if took_ms > self.peak_ms:
            self.peak_ms = took_ms
        else:
            self.peak_ms = self.peak_ms * keep + took_ms * (1.0 - keep)

    def note_fault(self, now_ms: float, fault_guard: bool = True) -> None:
        """Notes a failure; a fast one must not look like a fast target."""
        self.faults += 1
        if fault_guard:
            self.note_response(FAULT_PENALTY_MS, now_ms)
        pause_ms = min(8_000.0, 250.0 * 2.0 ** min(self.faults, 6))
        self.open_until_ms = now_ms + pause_ms
        self._doubted_until_ms = now_ms + DOUBT_MS

    def is_doubtful(self, now_ms: float) -> bool:
        """Returns whether it has failed lately and done nothing since."""
        return now_ms < self._doubted_until_ms

    def note_told_lost(self, now_ms: float, pause_ms: float) -> None:
        """Passes it over for a while, unless it has lately answered this VM."""
        if now_ms - self.answered_ms > LATELY_MS:
            self.open_until_ms = max(self.open_until_ms, now_ms + pause_ms)
            self._doubted_until_ms = max(
                self._doubted_until_ms, now_ms + DOUBT_MS
            )

    def take_report(
        self, report: load_report.LoadReport, now_ms: float
    ) -> None:
        """Takes in the target's own account."""
        taken_ms = now_ms - report.age_ms
        if report.generation != self.generation:
            self.generation = report.generation
            self.draining = False
            self._prefixes.clear()
            self._event_number = -1
        elif self._report is not None and taken_ms < self._report_ms:
            return
        self._report = report
        self._report_ms = taken_ms
        own_then = sum(1 for w in self._own.values() if w.sent_ms <= taken_ms)
        self._others_streams = max(0, report.running - own_then)
        self._since = own_work.Totals()
        for work in self._own.values():
            if work.sent_ms > taken_ms:
                fresh = 0 if work.has_first_token else work.fresh_tokens
                self._since.add(work.band, fresh, work.held_tokens, 1)
        # Draining is sticky for an incarnation: late accounts can't undo it.
        self.draining = self.draining or report.draining

    def take_peers(self, row: dispatched.Dispatched, now_ms: float) -> None:
        """Takes in the sum of what other VMs have on the target."""
        self._peer = row
        self._peer_ms = now_ms

    def take_event(self, event: cache_event.CacheEvent) -> None:
        """Takes in a cache event; a gap makes the rest doubtful."""
        if event.sequence <= self._event_number:
            return
        if event.sequence != self._event_number + 1:
            self._forget_half()
        self._event_number = event.sequence
        if event.tokens > 0:
            self.note_prefix(event.prefix, event.tokens)
        else:
            self._prefixes.pop(event.prefix, None)

    def note_prefix(self, prefix: str, tokens: int) -> None:
        """Notes that the target has a prefix in its cache."""
        self._prefixes.pop(prefix, None)
        self._prefixes[prefix] = tokens
        if len(self._prefixes) > PREFIXES_MAX:
            del self._prefixes[next(iter(self._prefixes))]

    def cached_tokens(self, prefix: str) -> int:
        """Returns how many tokens of a prefix are believed cached."""
        return self._prefixes.get(prefix, 0) if prefix else 0

    def waiting_tokens(
        self, now_ms: float, band: int = length_band.BANDS - 1
    ) -> float:
        """Returns the believed backlog ahead of a prompt of that band.

        Shorter bands go first; what cannot be told apart by band counts as
        being ahead.
        """
        known = float(self._totals.all_open_tokens)
        ahead = float(sum(self._totals.open_tokens[: band + 1]))
        peers = self._peer_tokens(now_ms)
        if peers is not _NOTHING_OPEN:
            known += sum(peers)
            ahead += sum(peers[: band + 1])
        if self._report is None:
            return ahead
        done = (now_ms - self._report_ms) * self.pool.prefill_tokens_per_s
        told = self._report.waiting_tokens - done / 1000.0
        unknown = max(0.0, told) + self._since.all_open_tokens - known
        return ahead + unknown if unknown > 0.0 else ahead

    def held_tokens(self, now_ms: float) -> int:
        """Returns the believed memory in use."""
        own = self._totals.held_tokens
        if now_ms - self._peer_ms < PEER_NEWS_MS:
            own += self._peer.held_tokens
        if self._report is None:
            return own
        return max(own, self._report.held_tokens + self._since.held_tokens)

    def free_tokens(self, now_ms: float) -> float:
        """Returns the memory that may still be promised."""
        most = self.pool.memory_tokens * MEMORY_USE_MAX
        return most - self.held_tokens(now_ms)

    def streams(self, now_ms: float) -> int:
        """Returns the believed number of requests in flight."""
        own = len(self._own)
        if now_ms - self._peer_ms < PEER_NEWS_MS:
            own += self._peer.streams
        if self._report is None:
            return own
        return max(own, self._report.running + self._since.streams)

    def recent_streams(self, now_ms: float) -> float:
        """Returns own requests plus others', by peers or else by the target.

        What the target told with an old answer fades.
        """
        own = self._own_answers()
        if now_ms - self._peer_ms < PEER_LOADS_MS:
            return float(own + self._peer.streams)
        faded = (now_ms - self._report_ms) / REPORT_FADES_MS
        if self._report is None or faded >= 1.0:
            return float(own)
        return own + self._others_streams * (1.0 - max(0.0, faded))

    def _own_answers(self) -> int:
        return sum(work.is_writing for work in self._own.values())

    def streams_by_pause(self, now_ms: float) -> tuple[int, ...]:
        """Returns own and peers' requests by class of the pause they bear."""
        own = self._own_by_pause()
        peers = self._peer.streams_by_pause
        if now_ms - self._peer_ms >= PEER_LOADS_MS or len(peers) != len(own):
            return own
        return tuple(map(sum, zip(own, peers, strict=True)))

    def _own_by_pause(self) -> tuple[int, ...]:
        counts = [0] * pause_class.CLASSES
        for work in self._own.values():
            counts[work.pause_class] += work.is_writing
        return tuple(counts)

    def prefilling_ms(self, now_ms: float) -> float:
        """Returns the predicted rest of all known prefills on the target."""
        own_ms = self._own_prefill_ms(now_ms)
        age_ms = now_ms - self._peer_ms
        if age_ms >= PEER_LOADS_MS:
            return own_ms
        return own_ms + self._peer.prefill_ms

    def _own_prefill_ms(self, now_ms: float) -> float:
        waiting = [w for w in self._own.values() if not w.has_first_token]
        if not waiting:
            return 0.0
        passed_ms = now_ms - min(w.sent_ms for w in waiting)
        planned_ms = sum(w.prefill_ms for w in waiting)
        # What should have ended by now but has not still takes a while: it
        # waits for the end of a pass, or for others' prefills.
        least_ms = planned_ms * PREFILL_REST_LEAST
        overdue_ms = passed_ms - planned_ms - OVERDUE_SLACK_MS
        return max(
            least_ms,
            planned_ms - passed_ms,
            min(overdue_ms, OVERDUE_MOST_MS),
        )

    def longest_band_in_reading(self, now_ms: float) -> int | None:
        """Returns the band of the longest prompt in prefill, or None."""
        peers: Sequence[int] = ()
        if now_ms - self._peer_ms < PEER_LOADS_MS:
            peers = self._peer.pending_tokens
        for band in reversed(range(length_band.BANDS)):
            if self._totals.open_tokens[band] or (
                band < len(peers) and peers[band]
            ):
                return band
        return None

    def own_streams(self) -> int:
        """Returns how many requests this VM has on the target."""
        return len(self._own)

    def longest_open_ms(self, now_ms: float) -> float:
        """Returns how long the oldest own request has been open."""
        return max(
            (now_ms - w.sent_ms for w in self._own.values()), default=0.0
        )

    def long_tokens(self, now_ms: float) -> float:
        """Returns the prompt tokens of long prompts in prefill here."""
        own = float(sum(self._totals.open_tokens[length_band.LONG_BAND :]))
        peers = self._peer_tokens(now_ms)
        if peers is _NOTHING_OPEN:
            return own
        return own + sum(peers[length_band.LONG_BAND :])

    def summarize(self, now_ms: float) -> dispatched.Dispatched:
        """Returns this VM's own work on the target, for peers."""
        return dispatched.Dispatched(
            self.target.target_id,
            tuple(self._totals.open_tokens),
            self._totals.held_tokens,
            self._own_answers(),
            self._own_by_pause(),
            self._own_prefill_ms(now_ms),
        )

    def describe(self, now_ms: float) -> str:
        """Returns what is believed, with the age of what others told."""
        return (
            f"streams={self.recent_streams(now_ms):.1f} own={len(self._own)} "
            f"prefill_ms={self.prefilling_ms(now_ms):.0f} "
            f"peers_age_ms={_tell_age(now_ms - self._peer_ms)} "
            f"report_age_ms={self._tell_report_age(now_ms)}"
        )

    def _tell_report_age(self, now_ms: float) -> str:
        if self._report is None:
            return _UNKNOWN
        return _tell_age(now_ms - self._report_ms)

    def prefixes(self) -> Mapping[str, int]:
        """Returns the prefixes believed cached, with their tokens."""
        return self._prefixes

    def _peer_tokens(self, now_ms: float) -> Sequence[float]:
        """Returns what is left of peers' prompt tokens, by band."""
        age_ms = now_ms - self._peer_ms
        if age_ms >= PEER_NEWS_MS or not self._peer.pending_tokens:
            return _NOTHING_OPEN
        done = age_ms / 1000.0 * self.pool.prefill_tokens_per_s
        tokens = [0.0] * length_band.BANDS
        for band, pending in enumerate(self._peer.pending_tokens):
            tokens[band] = max(0.0, pending - done)
            done = max(0.0, done - pending)
        return tokens

    def _forget_half(self) -> None:
        for prefix in list(self._prefixes)[: len(self._prefixes) // 2]:
            del self._prefixes[prefix]


def _tell_age(age_ms: float) -> str:
    """Returns an age for logs; nothing may ever have come."""
    return f"{age_ms:.0f}" if math.isfinite(age_ms) else _UNKNOWN
