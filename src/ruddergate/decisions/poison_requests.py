"""Finds poison requests: those that crash the targets that run them.

A poison request may crash every target that begins to answer it. It comes again
as new requests with new ids, at any VM; what they share is their fingerprint,
see `decisions/request_fingerprint.py`. Whatever else a target was running is
lost in the same crash, so one crash proves little. These count against a
fingerprint:

- Incarnations of targets that crashed while they ran it, since a request with
  this fingerprint last completed anywhere. A crash that came late after the
  request was sent counts less, see `weigh_crash`.
- But no crash that another fingerprint explains: one that was lost in the same
  crash, is over the threshold and has more against it.

Three incarnations that crashed at once are enough to quarantine a fingerprint.
Requests with a quarantined fingerprint are sent to no target.

All VMs keep the same table, as far as gossip has reached them. They gossip what
they observed, not what they concluded, and each VM concludes by itself. Gossip
may come in any order and any number of times; the result is the same.
"""

from collections.abc import Iterable
import dataclasses
import math
from typing import TypeAlias

from ruddergate.fleet import incarnation as incarnations
from ruddergate.messages import poison_reports as messages

# Sum of weights from which a fingerprint is quarantined. Callers try twice, and
# each try is sent to two targets at most, so a harmless request rarely has as
# much against it, even on days on which targets crash at random.
QUARANTINE_THRESHOLD = 3.0
# A poison request crashes its target soon after it began to run. A crash within
# this time after the request was sent counts as a whole.
IMMEDIATE_CRASH_MS = 1_000.0
# A request that had been on its target for longer, or had begun, was rather
# there by chance. Such a fingerprint needs five crashes, two more than one that
# crashes its targets at once.
LATE_CRASH_WEIGHT = 0.6
# How long a quarantine lasts, and how long a fingerprint below the threshold is
# kept, from its last crash. One that stays fatal costs three targets an hour.
QUARANTINE_MS = 3_600_000.0
SUSPECT_MS = 600_000.0
# Maximum of fingerprints, at about 1 KB each. Beyond it, those with the fewest
# crashes are dropped, down to the number kept.
MAX_FINGERPRINTS = 1_024
KEPT_FINGERPRINTS = 896
# Crashes kept of each fingerprint. More add nothing, except where others
# explain some of them.
MAX_CRASHES = 8
# Fingerprints in one datagram: with three crashes each they take about 2 KB.
MAX_ROWS_PER_DATAGRAM = 16
# A completion counts as new if it is later than the known one by more than
# this. Ages grow by the transit time of datagrams, so VMs would otherwise pass
# the same completion on forever.
COMPLETION_SLACK_MS = 500.0

Rows: TypeAlias = tuple[messages.PoisonReport, ...]


@dataclasses.dataclass(slots=True)
class _Crash:
    """When an incarnation crashed, and how much that counts."""

    at_ms: float
    weight: float


@dataclasses.dataclass(slots=True)
class _Record:
    """What is known of a fingerprint.

    Attributes:
        crashes: Incarnations that crashed while they ran it, since it last
            completed.
        completed_ms: When a request with it last completed.
    """

    crashes: dict[incarnations.Incarnation, _Crash] = dataclasses.field(
        default_factory=dict
    )
    completed_ms: float = -math.inf

    def sum_weights(self) -> float:
        """Returns the weight of all its crashes, explained or not."""
        return sum(each.weight for each in self.crashes.values())

    def find_last_ms(self) -> float:
        """Returns the time of the last crash, or else of the completion."""
        crashes_ms = (each.at_ms for each in self.crashes.values())
        return max(crashes_ms, default=self.completed_ms)


class PoisonRequests:
    """Fingerprints with the crashes that count against them.

    Owned by one task.
    """

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        # Fingerprints that were running in each crash.
        self._by_incarnation: dict[incarnations.Incarnation, set[str]] = {}

    def __len__(self) -> int:
        return len(self._records)

    def note_crash(
        self,
        fingerprint: str,
        incarnation: incarnations.Incarnation,
        weight: float,
        now_ms: float,
    ) -> bool:
        """Notes that a target crashed while it ran a request.

        Args:
            fingerprint: Fingerprint of the request.
            incarnation: The incarnation that crashed.
            weight: How much that counts, see `weigh_crash`.
            now_ms: Time.

        Returns:
            Whether it is new, or counts more than before.
        """
        is_new = self._add_crash(fingerprint, incarnation, now_ms, weight)
        self._drop_excess(now_ms)
        return is_new

    def note_completed(self, fingerprint: str, now_ms: float) -> bool:
        """Notes that a request has completed.

        Returns:
            Whether that cleared any crash of its fingerprint.
        """
        record = self._records.get(fingerprint)
        if record is None or not record.crashes:
            return False
        self._clear_crashes(fingerprint, record, now_ms)
        return True

    def count_crashes(self, fingerprint: str, now_ms: float) -> int:
        """Returns how many crashes count against a fingerprint."""
        self._drop_if_expired(fingerprint, now_ms)
        return len(self._find_unexplained_weights(fingerprint))

    def find_quarantine_left_ms(self, fingerprint: str, now_ms: float) -> float:
        """Returns how long a fingerprint stays quarantined; 0 if it is not."""
        self._drop_if_expired(fingerprint, now_ms)
        if not self._is_over_threshold(fingerprint):
            return 0.0
        return (
            self._records[fingerprint].find_last_ms() + QUARANTINE_MS - now_ms
        )

    def list_quarantined(self, now_ms: float) -> list[str]:
        """Returns the fingerprints that are quarantined."""
        return [
            fingerprint
            for fingerprint in list(self._records)
            if self.find_quarantine_left_ms(fingerprint, now_ms) > 0.0
        ]

    def merge(
        self, rows: Iterable[messages.PoisonReport], now_ms: float
    ) -> set[str]:
        """Merges what a peer knows.

        Args:
            rows: Valid rows, see `find_error`.
            now_ms: Time.

        Returns:
            The fingerprints of which anything was new.
        """
        changed = {
            row.fingerprint for row in rows if self._merge_row(row, now_ms)
        }
        self._drop_excess(now_ms)
        return changed

    def describe(
        self, fingerprint: str, now_ms: float
    ) -> messages.PoisonReport | None:
        """Returns what is known of a fingerprint, as a row for peers."""
        self._drop_if_expired(fingerprint, now_ms)
        record = self._records.get(fingerprint)
        if record is None:
            return None
        completed_age_ms = now_ms - record.completed_ms
        if math.isinf(completed_age_ms):
            completed_age_ms = messages.NEVER_COMPLETED
        crashes = tuple(
            messages.EndedIncarnation(
                incarnation, now_ms - each.at_ms, each.weight
            )
            for incarnation, each in record.crashes.items()
        )
        return messages.PoisonReport(fingerprint, crashes, completed_age_ms)

    def rank(self, now_ms: float) -> list[str]:
        """Returns all fingerprints, those with most crashes first."""
        for fingerprint in list(self._records):
            self._drop_if_expired(fingerprint, now_ms)
        return sorted(self._records, key=self._make_rank_key, reverse=True)

    def _make_rank_key(self, fingerprint: str) -> tuple[int, float]:
        record = self._records[fingerprint]
        return len(record.crashes), record.find_last_ms()

    def _add_crash(
        self,
        fingerprint: str,
        incarnation: incarnations.Incarnation,
        at_ms: float,
        weight: float,
    ) -> bool:
        """Adds a crash; returns whether it is new, or counts more now."""
        record = self._records.setdefault(fingerprint, _Record())
        known = record.crashes.get(incarnation)
        if known is not None:
            is_more = weight > known.weight
            known.weight = max(known.weight, weight)
            return is_more
        if at_ms <= record.completed_ms or len(record.crashes) >= MAX_CRASHES:
            return False
        record.crashes[incarnation] = _Crash(at_ms, weight)
        self._by_incarnation.setdefault(incarnation, set()).add(fingerprint)
        return True

    def _clear_crashes(
        self, fingerprint: str, record: _Record, completed_ms: float
    ) -> None:
        """Notes a completion and clears the crashes up to it."""
        record.completed_ms = completed_ms
        for incarnation, each in list(record.crashes.items()):
            if each.at_ms <= completed_ms:
                self._remove_crash(fingerprint, record, incarnation)

    def _remove_crash(
        self,
        fingerprint: str,
        record: _Record,
        incarnation: incarnations.Incarnation,
    ) -> None:
        del record.crashes[incarnation]
        sharers = self._by_incarnation[incarnation]
        sharers.discard(fingerprint)
        if not sharers:
            del self._by_incarnation[incarnation]

    def _merge_row(self, row: messages.PoisonReport, now_ms: float) -> bool:
        is_new = False
        if row.completed_age_ms != messages.NEVER_COMPLETED:
            is_new = self._merge_completion(row, now_ms)
        for each in row.ended:
            at_ms = now_ms - each.age_ms
            is_new |= self._add_crash(
                row.fingerprint, each.incarnation, at_ms, each.weight
            )
        return is_new

    def _merge_completion(
        self, row: messages.PoisonReport, now_ms: float
    ) -> bool:
        completed_ms = now_ms - row.completed_age_ms
        if now_ms - completed_ms >= SUSPECT_MS:
            return False
        record = self._records.setdefault(row.fingerprint, _Record())
        if completed_ms <= record.completed_ms + COMPLETION_SLACK_MS:
            return False
        self._clear_crashes(row.fingerprint, record, completed_ms)
        return True

    def _find_unexplained_weights(self, fingerprint: str) -> list[float]:
        """Returns the weights of crashes that no other fingerprint explains."""
        record = self._records.get(fingerprint)
        if record is None:
            return []
        return [
            each.weight
            for incarnation, each in record.crashes.items()
            if not any(
                self._explains_crashes(other, record)
                for other in self._by_incarnation[incarnation]
                if other != fingerprint
            )
        ]

    def _explains_crashes(self, other: str, record: _Record) -> bool:
        """Returns whether another fingerprint caused the crashes of both."""
        weight = self._records[other].sum_weights()
        return weight >= QUARANTINE_THRESHOLD and weight > record.sum_weights()

    def _is_over_threshold(self, fingerprint: str) -> bool:
        return (
            sum(self._find_unexplained_weights(fingerprint))
            >= QUARANTINE_THRESHOLD
        )

    def _drop_if_expired(self, fingerprint: str, now_ms: float) -> None:
        record = self._records.get(fingerprint)
        if record is None:
            return
        age_ms = now_ms - record.find_last_ms()
        if age_ms < SUSPECT_MS:
            return
        is_quarantined = self._is_over_threshold(fingerprint)
        if not is_quarantined or age_ms >= QUARANTINE_MS:
            self._drop(fingerprint)

    def _drop(self, fingerprint: str) -> None:
        record = self._records.pop(fingerprint)
        for incarnation in list(record.crashes):
            self._remove_crash(fingerprint, record, incarnation)

    def _drop_excess(self, now_ms: float) -> None:
        if len(self._records) <= MAX_FINGERPRINTS:
            return
        for fingerprint in self.rank(now_ms)[KEPT_FINGERPRINTS:]:
            self._drop(fingerprint)


def weigh_crash(
    elapsed_ms: float, prefill_ms: float, has_begun: bool = False
) -> float:
    """Returns how much the crash of a target counts against a request.

    A prompt that one engine would prefill for longer than IMMEDIATE_CRASH_MS
    can't have begun to run within it, so its crash counts less. Then the two
    tries of its caller, with two sends each, do not reach the threshold,
    whatever crashes meanwhile.

    Args:
        elapsed_ms: How long before the crash the request had been sent.
        prefill_ms: How long one engine would prefill its prompt.
        has_begun: Whether this or an earlier target had begun to respond to
            the request. A poison request crashes its targets before that.
    """
    is_immediate = (
        not has_begun and max(elapsed_ms, prefill_ms) <= IMMEDIATE_CRASH_MS
    )
    return 1.0 if is_immediate else LATE_CRASH_WEIGHT


def find_error(rows: Rows) -> str:
    """Returns what is wrong with a peer's rows; empty if they are valid."""
    if len(rows) > MAX_ROWS_PER_DATAGRAM:
        return f"{len(rows)} fingerprints in one datagram"
    for row in rows:
        error = _find_row_error(row)
        if error:
            return error
    return ""


def _find_row_error(row: messages.PoisonReport) -> str:
    if len(row.ended) > MAX_CRASHES:
        return f"{len(row.ended)} crashes of one fingerprint"
    completion_age_ms = row.completed_age_ms
    if completion_age_ms != messages.NEVER_COMPLETED and not _is_age(
        completion_age_ms
    ):
        return "a completion with an invalid age"
    for each in row.ended:
        if not _is_age(each.age_ms):
            return "a crash with an invalid age"
        if not 0.0 < each.weight <= 1.0:
            return "a crash whose weight is not above 0 and at most 1"
    return ""


def _is_age(age_ms: float) -> bool:
    return math.isfinite(age_ms) and age_ms >= 0.0
