"""Finds poison requests: those that crash the targets that run them.

A poison request may crash every target that begins to answer it. What is poison
is the content of the request, or one part of its prompt, whatever else the
request holds. It comes again in new requests with new ids, at any VM; what they
share is a fingerprint, see `decisions/request_fingerprint.py`. Whatever else a
target was running is lost in the same crash, so one crash proves little. These
count against a fingerprint:

- Incarnations of targets that crashed while they ran such a request, since one
  last proved harmless anywhere: for a content by completing, for a part by a
  response that lasted. A crash that came late after the request was sent counts
  less, see `weigh_crash`.
- But no crash that another fingerprint explains: one that was lost in the same
  crash, is over the threshold and has more against it. A part that proved
  harmless before explains no crash of one that never did, and all its crashes
  are explained by such a one.

Three incarnations that crashed at once are enough to quarantine a fingerprint.
A part that proved harmless before takes four whose requests were sent one after
the other, since a loss of all targets crashes many under the parts that most
requests share.

A request is refused if it holds all the quarantined fingerprints that met the
same crashes, as it is not known which of them caused these. Parts below the
threshold, requests that hold some of those fingerprints only, and parts whose
quarantine has lasted for a while are tried: one request at a time in the fleet.

All VMs keep the same table, as far as gossip has reached them. They gossip what
they observed, not what they concluded, and each VM concludes by itself. Gossip
may come in any order and any number of times; the result is the same.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import enum
import math
from typing import TypeAlias

from ruddergate.decisions import crash_records
from ruddergate.decisions import request_fingerprint
from ruddergate.fleet import incarnation as incarnations
from ruddergate.messages import poison_reports as messages

# Sum of weights from which a fingerprint is quarantined. Callers try twice, and
# each try is sent to two targets at most, so a harmless request rarely has as
# much against it, even on days on which targets crash at random.
QUARANTINE_THRESHOLD = 3.0
# The same for a part that proved harmless before, of requests sent one by one.
PROVEN_THRESHOLD = 4.0
# A poison request crashes its target soon after it began to run. A crash within
# this time after the request was sent counts as a whole.
IMMEDIATE_CRASH_MS = 1_000.0
# A request that had been on its target for longer, or had begun, was rather
# there by chance. Such a fingerprint needs five crashes, two more than one that
# crashes its targets at once.
LATE_CRASH_WEIGHT = 0.6
# Share of the predicted time within which the fastest engine has prefilled a
# prompt.
MIN_PREFILL_SHARE = 0.5
# A response that goes on for this long after its first event is none that
# crashes its target.
LASTING_MS = 300.0
# How long a quarantine lasts, and how long a fingerprint below the threshold is
# kept, from its last crash. One that stays fatal costs three targets an hour.
QUARANTINE_MS = 3_600_000.0
SUSPECT_MS = 600_000.0
# How long after the last crash a quarantined part is tried, at the threshold. A
# part that proved harmless before is more likely to do so again, and more
# requests share it.
TRIAL_DELAY_MS = 15_000.0
PROVEN_TRIAL_DELAY_MS = 1_000.0
# Each further crash multiplies the delay by this.
TRIAL_DELAY_FACTOR = 4.0
# VMs prolong the delay by up to this share, at random, so that they don't all
# begin a trial before they hear of each other's.
TRIAL_JITTER = 0.5
# Maximum of fingerprints, at about 1 KB each. Beyond it, those with the fewest
# crashes are dropped, down to the number kept.
MAX_FINGERPRINTS = 1_024
KEPT_FINGERPRINTS = 896
# Parts that proved harmless and are remembered for it, at about 200 bytes each.
MAX_PROVEN_PARTS = 4_096
MAX_CRASHES = crash_records.MAX_CRASHES
# Fingerprints in one datagram: with three crashes each they take about 2 KB.
MAX_ROWS_PER_DATAGRAM = 16
COMPLETION_SLACK_MS = crash_records.AGE_SLACK_MS

Rows: TypeAlias = tuple[messages.PoisonReport, ...]


class Verdict(enum.Enum):
    """What may be done with a request."""

    ADMITTED = "admitted"
    # One such request at a time.
    ON_TRIAL = "on_trial"
    QUARANTINED = "quarantined"


@dataclasses.dataclass(frozen=True, slots=True)
class Judgment:
    """The verdict on a request.

    Attributes:
        verdict: The verdict.
        fingerprint: The fingerprint it rests on; empty if the request is
            admitted.
        left_ms: How long a quarantined request stays refused.
    """

    verdict: Verdict
    fingerprint: str = ""
    left_ms: float = 0.0


_ADMITTED = Judgment(Verdict.ADMITTED)


class PoisonRequests:
    """Fingerprints with the crashes that count against them.

    Owned by one task.

    Args:
        draw: Returns a random number from 0 to 1, by which this VM prolongs the
            delay before a trial.
    """

    def __init__(self, draw: Callable[[], float] = lambda: 0.0) -> None:
        self._records: dict[str, crash_records.Record] = {}
        # Fingerprints that were running in each crash.
        self._by_incarnation: dict[incarnations.Incarnation, set[str]] = {}
        # When responses to requests with a part last began that lasted, the
        # latest last.
        self._proven_ms: dict[str, float] = {}
        self._draw = draw
        # The random number of each quarantined part.
        self._jitter: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._records)

    def note_crash(
        self,
        fingerprint: str,
        incarnation: incarnations.Incarnation,
        weight: float,
        now_ms: float,
        since_sent_ms: float = 0.0,
    ) -> bool:
        """Notes that a target crashed while it ran a request.

        Args:
            fingerprint: Fingerprint of the request.
            incarnation: The incarnation that crashed.
            weight: How much that counts, see `weigh_crash`.
            now_ms: Time.
            since_sent_ms: How long before the request had been sent.

        Returns:
            Whether it is new, or counts more than before.
        """
        crash = crash_records.Crash(now_ms, weight, now_ms - since_sent_ms)
        is_new = self._add_crash(fingerprint, incarnation, crash)
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

    def note_lasting(self, fingerprint: str, began_ms: float) -> bool:
        """Notes that a response to a request with a part has lasted.

        Args:
            fingerprint: Fingerprint of the part.
            began_ms: When the response began; a crash after that may still be
                due to the part.

        Returns:
            Whether that cleared any crash.
        """
        self._proven_ms.pop(fingerprint, None)
        self._proven_ms[fingerprint] = began_ms
        if len(self._proven_ms) > MAX_PROVEN_PARTS:
            del self._proven_ms[next(iter(self._proven_ms))]
        record = self._records.get(fingerprint)
        if record is None:
            return False
        crashes = len(record.crashes)
        self._clear_crashes(fingerprint, record, began_ms)
        return len(record.crashes) < crashes

    def lacks_proof(self, row: messages.PoisonReport) -> bool:
        """Returns whether a peer does not know that a part proved harmless."""
        return (
            row.completed_age_ms == messages.NEVER
            and row.fingerprint in self._records
            and self._is_proven(row.fingerprint)
        )

    def judge(self, fingerprints: Sequence[str], now_ms: float) -> Judgment:
        """Returns what may be done with a request that has fingerprints.

        Args:
            fingerprints: Those of its content and of all its parts.
            now_ms: Time.
        """
        judgment = _ADMITTED
        for fingerprint in fingerprints:
            self._drop_if_expired(fingerprint, now_ms)
            if fingerprint not in self._records:
                continue
            found = self._judge_one(fingerprint, fingerprints, now_ms)
            if found.verdict is Verdict.QUARANTINED:
                return found
            if found.verdict is Verdict.ON_TRIAL:
                judgment = found
        return judgment

    def is_trial_running(
        self, fingerprints: Sequence[str], now_ms: float
    ) -> bool:
        """Returns whether the result of a trial of a part is awaited."""
        return any(
            self._records[each].is_trial_running(now_ms)
            for each in fingerprints
            if each in self._records
        )

    def begin_trial(
        self, fingerprints: Sequence[str], now_ms: float
    ) -> list[str]:
        """Notes that a request is sent as a trial; returns its suspects."""
        suspects = [
            each
            for each in fingerprints
            if each in self._records
            and self._judge_one(each, fingerprints, now_ms).verdict
            is not Verdict.ADMITTED
        ]
        for each in suspects:
            self._records[each].trial_ms = now_ms
        return suspects

    def end_trial(self, fingerprints: Sequence[str], began_ms: float) -> None:
        """Notes that a trial ended without a result.

        Args:
            fingerprints: Its suspects.
            began_ms: When it began; a later trial goes on.
        """
        for each in fingerprints:
            record = self._records.get(each)
            if record is not None and record.trial_ms == began_ms:
                record.trial_ms = -math.inf

    def is_suspect(self, fingerprint: str, now_ms: float) -> bool:
        """Returns whether there is so much evidence that it matters."""
        if not request_fingerprint.is_part(fingerprint):
            return self.count_crashes(fingerprint, now_ms) > 0
        return self.judge((fingerprint,), now_ms) != _ADMITTED

    def count_crashes(self, fingerprint: str, now_ms: float) -> int:
        """Returns how many crashes count against a fingerprint."""
        self._drop_if_expired(fingerprint, now_ms)
        return len(self._find_unexplained(fingerprint))

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
        crashes = tuple(
            messages.EndedIncarnation(
                incarnation,
                now_ms - each.at_ms,
                each.weight,
                round(max(0.0, each.at_ms - each.sent_ms)),
            )
            for incarnation, each in record.crashes.items()
        )
        return messages.PoisonReport(
            fingerprint,
            crashes,
            _find_age_ms(record.completed_ms, now_ms),
            _find_age_ms(record.trial_ms, now_ms),
        )

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
        crash: crash_records.Crash,
    ) -> bool:
        """Adds a crash; returns whether it is new, or counts more now."""
        proven_ms = self._proven_ms.get(fingerprint, -math.inf)
        if crash.at_ms <= proven_ms:
            return False
        record = self._records.setdefault(fingerprint, crash_records.Record())
        record.completed_ms = max(record.completed_ms, proven_ms)
        known = record.crashes.get(incarnation)
        if known is not None:
            is_more = crash.weight > known.weight
            known.weight = max(known.weight, crash.weight)
            known.sent_ms = max(known.sent_ms, crash.sent_ms)
            return is_more
        if crash.at_ms <= record.completed_ms:
            return False
        if len(record.crashes) >= MAX_CRASHES:
            replaced = record.make_room(crash.at_ms)
            if replaced is None:
                return False
            self._remove_crash(fingerprint, record, replaced)
        record.crashes[incarnation] = crash
        self._by_incarnation.setdefault(incarnation, set()).add(fingerprint)
        return True

    def _clear_crashes(
        self,
        fingerprint: str,
        record: crash_records.Record,
        completed_ms: float,
    ) -> None:
        """Notes a completion and clears the crashes up to it."""
        record.completed_ms = max(record.completed_ms, completed_ms)
        for incarnation, each in list(record.crashes.items()):
            if each.at_ms <= completed_ms:
                self._remove_crash(fingerprint, record, incarnation)

    def _remove_crash(
        self,
        fingerprint: str,
        record: crash_records.Record,
        incarnation: incarnations.Incarnation,
    ) -> None:
        del record.crashes[incarnation]
        sharers = self._by_incarnation[incarnation]
        sharers.discard(fingerprint)
        if not sharers:
            del self._by_incarnation[incarnation]

    def _merge_row(self, row: messages.PoisonReport, now_ms: float) -> bool:
        is_new = False
        if row.completed_age_ms != messages.NEVER:
            is_new = self._merge_completion(row, now_ms)
        for each in row.ended:
            at_ms = now_ms - each.age_ms
            crash = crash_records.Crash(
                at_ms, each.weight, at_ms - each.since_sent_ms
            )
            is_new |= self._add_crash(row.fingerprint, each.incarnation, crash)
        if row.trial_age_ms != messages.NEVER:
            is_new |= self._merge_trial(row, now_ms)
        return is_new

    def _merge_trial(self, row: messages.PoisonReport, now_ms: float) -> bool:
        trial_ms = now_ms - row.trial_age_ms
        record = self._records.get(row.fingerprint)
        if record is None or row.trial_age_ms >= crash_records.TRIAL_TIMEOUT_MS:
            return False
        is_new = trial_ms > record.trial_ms + COMPLETION_SLACK_MS
        record.trial_ms = max(record.trial_ms, trial_ms)
        return is_new

    def _merge_completion(
        self, row: messages.PoisonReport, now_ms: float
    ) -> bool:
        completed_ms = now_ms - row.completed_age_ms
        if now_ms - completed_ms >= SUSPECT_MS:
            return False
        record = self._records.setdefault(
            row.fingerprint, crash_records.Record()
        )
        if completed_ms <= record.completed_ms + COMPLETION_SLACK_MS:
            return False
        self._clear_crashes(row.fingerprint, record, completed_ms)
        return True

    def _judge_one(
        self, fingerprint: str, fingerprints: Sequence[str], now_ms: float
    ) -> Judgment:
        """Returns the judgment on a request for one of its fingerprints."""
        is_part = request_fingerprint.is_part(fingerprint)
        if self._is_over_threshold(fingerprint):
            if not is_part:
                left_ms = self.find_quarantine_left_ms(fingerprint, now_ms)
                return Judgment(Verdict.QUARANTINED, fingerprint, left_ms)
            left_ms = self._find_trial_ms(fingerprint) - now_ms
            if left_ms > 0.0 and self._find_tied(fingerprint) <= set(
                fingerprints
            ):
                return Judgment(Verdict.QUARANTINED, fingerprint, left_ms)
            return Judgment(Verdict.ON_TRIAL, fingerprint)
        # Late crashes are too weak to make requests wait for each other.
        weight = sum(
            each.weight
            for each in self._find_unexplained(fingerprint)
            if each.weight > LATE_CRASH_WEIGHT
        )
        tried_from = (
            QUARANTINE_THRESHOLD if self._is_proven(fingerprint) else 0.0
        )
        if is_part and weight > 0.0 and weight >= tried_from:
            return Judgment(Verdict.ON_TRIAL, fingerprint)
        return _ADMITTED

    def _find_trial_ms(self, fingerprint: str) -> float:
        """Returns when a quarantined part may be tried again."""
        record = self._records[fingerprint]
        delay_ms, threshold = TRIAL_DELAY_MS, QUARANTINE_THRESHOLD
        if self._is_proven(fingerprint):
            delay_ms, threshold = PROVEN_TRIAL_DELAY_MS, PROVEN_THRESHOLD
        further = max(0.0, record.sum_weights() - threshold)
        delay_ms *= TRIAL_DELAY_FACTOR**further
        if fingerprint not in self._jitter:
            self._jitter[fingerprint] = self._draw()
        delay_ms *= 1.0 + TRIAL_JITTER * self._jitter[fingerprint]
        return record.find_last_ms() + delay_ms

    def _find_tied(self, fingerprint: str) -> set[str]:
        """Returns the quarantined fingerprints that met the same crashes."""
        crashes = self._records[fingerprint].crashes.keys()
        candidates = set.intersection(
            *(self._by_incarnation[each] for each in crashes)
        )
        return {
            each
            for each in candidates
            if self._records[each].crashes.keys() == crashes
            and self._is_over_threshold(each)
        }

    def _is_proven(self, fingerprint: str) -> bool:
        """Returns whether it is a part that proved harmless before."""
        if not request_fingerprint.is_part(fingerprint):
            return False
        if fingerprint in self._proven_ms:
            return True
        return not math.isinf(self._records[fingerprint].completed_ms)

    def _find_unexplained(self, fingerprint: str) -> list[crash_records.Crash]:
        """Returns the crashes that no other fingerprint explains."""
        record = self._records.get(fingerprint)
        if record is None:
            return []
        return [
            each
            for incarnation, each in record.crashes.items()
            if not any(
                self._explains_crashes(other, fingerprint)
                for other in self._by_incarnation[incarnation]
                if other != fingerprint
            )
        ]

    def _explains_crashes(self, other: str, fingerprint: str) -> bool:
        """Returns whether another fingerprint caused the crashes of both."""
        other_weight = self._records[other].sum_weights()
        if other_weight < QUARANTINE_THRESHOLD:
            return False
        is_proven = self._is_proven(fingerprint)
        if self._is_proven(other) != is_proven:
            return is_proven
        return other_weight > self._records[fingerprint].sum_weights()

    def _is_over_threshold(self, fingerprint: str) -> bool:
        crashes = self._find_unexplained(fingerprint)
        if not crashes:
            return False
        if self._is_proven(fingerprint):
            return crash_records.sum_consecutive(crashes) >= PROVEN_THRESHOLD
        return sum(each.weight for each in crashes) >= QUARANTINE_THRESHOLD

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
        self._jitter.pop(fingerprint, None)
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


def _find_age_ms(at_ms: float, now_ms: float) -> float:
    return messages.NEVER if math.isinf(at_ms) else max(0.0, now_ms - at_ms)


def weigh_part_crash(
    elapsed_ms: float, prefill_ms: float, targets: int
) -> float:
    """Returns how much the crash of a target counts against parts of a prompt.

    A part crashes its target as the answer begins. Long prompts are hit by
    random crashes while they are prefilled, which takes seconds; then no answer
    can have begun.

    Args:
        elapsed_ms: How long before the crash the request had been sent.
        prefill_ms: How long one engine would prefill its prompt.
        targets: Number of engines that prefilled it together.

    Returns:
        The weight; 0 if no answer can have begun.
    """
    if elapsed_ms < MIN_PREFILL_SHARE * prefill_ms / targets:
        return 0.0
    return weigh_crash(elapsed_ms, prefill_ms)


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
    for age_ms in (row.completed_age_ms, row.trial_age_ms):
        if age_ms != messages.NEVER and not _is_age(age_ms):
            return "a completion or a trial with an invalid age"
    for each in row.ended:
        if not (_is_age(each.age_ms) and _is_age(each.since_sent_ms)):
            return "a crash with an invalid age"
        if not 0.0 < each.weight <= 1.0:
            return "a crash whose weight is not above 0 and at most 1"
    return ""


def _is_age(age_ms: float) -> bool:
    return math.isfinite(age_ms) and age_ms >= 0.0
