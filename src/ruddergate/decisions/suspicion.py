"""Which contents end the targets that run them, judged from what ended.

A call may end each target that begins to answer it. It comes again as new
calls with new ids, at any VM; what they share is their content. Whatever else a
target was answering ends with it, so one end proves little. What counts against
a content:

- Lives of targets that ended under it since it last ran to its end anywhere;
  one that ended only after a while counts less (`find_weight`).
- Not those that another content explains, which is quarantined with more
  against it and was there too.

Three lives that ended at once are enough for a quarantine. A quarantined
content is sent to no target.

All VMs keep the same table, as far as they have heard of each other: they tell
what they saw, not what they concluded, and each concludes by itself. The order
and number of times in which they hear of it make no difference.
"""

from collections.abc import Iterable
import dataclasses
import math
from typing import TypeAlias

from ruddergate.fleet import incarnation as incarnations
from ruddergate.messages import poison_reports as messages

# What is proof. Callers try twice, and each try is sent to two targets at most,
# so a call that does no harm seldom has as much against it, even on days on
# which targets crash at random.
PROOF = 3.0
# A call that ends its target does so 35 to 500 ms after it began to run (28
# ends, logs of nine VMs). One that was lost within this time after it was sent
# counts as a whole.
AT_ONCE_MS = 1_000.0
# One that was there for longer was more likely there by chance: with a sixth of
# the targets crashing every two seconds, a prompt that is read for four seconds
# loses one target in three, and was quarantined for two. Such a content is
# proved by five lives, two more than one that ends its targets at once.
WEIGHT_LATER = 0.6
# How long a quarantine lasts, and how long what is less than proof is kept,
# from the last end. A content that is still fatal costs three targets an hour.
QUARANTINE_MS = 3_600_000.0
SUSPECT_MS = 600_000.0
# Contents kept at most, about 1 KB each; beyond it, those under which the least
# ended are dropped.
CONTENTS_MOST = 1_024
CONTENTS_KEPT = 896
# Lives kept of each content: more add nothing, but for those that are explained
# by others.
LIVES_MOST = 8
# Contents told in one datagram: with three lives each they take about 2 KB.
TOLD_MOST = 16
# A content's end of this much later than the known one is news. Ages grow by
# the time that datagrams take, and would never come to rest otherwise.
FINISHED_SLACK_MS = 500.0

Rows: TypeAlias = tuple[messages.PoisonReport, ...]


@dataclasses.dataclass(slots=True)
class _Ended:
    """When a life ended, and how much that counts."""

    at_ms: float
    weight: float


@dataclasses.dataclass(slots=True)
class _Record:
    """What is known of a content.

    Attributes:
        ended: Lives that ended under it since it ran to its end.
        finished_ms: When it last ran to its end.
    """

    ended: dict[incarnations.Incarnation, _Ended] = dataclasses.field(
        default_factory=dict
    )
    finished_ms: float = -math.inf

    def weigh(self) -> float:
        """Returns what all its lives count, explained or not."""
        return sum(each.weight for each in self.ended.values())

    def last_ms(self) -> float:
        """Returns when it was last seen to end a life, or to do no harm."""
        ends_ms = (each.at_ms for each in self.ended.values())
        return max(ends_ms, default=self.finished_ms)


class Suspicion:
    """Contents by name, with what counts against them; owned by one task."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        # Contents under which each life ended.
        self._by_life: dict[incarnations.Incarnation, set[str]] = {}

    def __len__(self) -> int:
        return len(self._records)

    def note_ended(
        self,
        content: str,
        incarnation: incarnations.Incarnation,
        weight: float,
        now_ms: float,
    ) -> bool:
        """Notes that a life ended under a content; returns whether it is news.

        Args:
            content: Name of the content.
            life: The life that ended.
            weight: How much that counts, see `find_weight`.
            now_ms: Time.
        """
        is_news = self._add(content, incarnation, now_ms, weight)
        self._drop_least(now_ms)
        return is_news

    def note_finished(self, content: str, now_ms: float) -> bool:
        """Notes that a call ran to its end; returns whether it is news."""
        record = self._records.get(content)
        if record is None or not record.ended:
            return False
        self._clear(content, record, now_ms)
        return True

    def count_against(self, content: str, now_ms: float) -> int:
        """Returns how many lives count against a content."""
        self._forget_if_old(content, now_ms)
        return len(self._find_against(content))

    def find_left_ms(self, content: str, now_ms: float) -> float:
        """Returns how long a content stays quarantined; 0 if it is not."""
        self._forget_if_old(content, now_ms)
        if not self._is_proved(content):
            return 0.0
        return self._records[content].last_ms() + QUARANTINE_MS - now_ms

    def list_quarantined(self, now_ms: float) -> list[str]:
        """Returns the contents that are quarantined."""
        return [
            content
            for content in list(self._records)
            if self.find_left_ms(content, now_ms) > 0.0
        ]

    def take(
        self, rows: Iterable[messages.PoisonReport], now_ms: float
    ) -> set[str]:
        """Takes in what a peer knows; returns the contents that it had news of.

        Rows are to be sound, see `find_fault`.
        """
        news = {row.fingerprint for row in rows if self._take_row(row, now_ms)}
        self._drop_least(now_ms)
        return news

    def describe(
        self, content: str, now_ms: float
    ) -> messages.PoisonReport | None:
        """Returns what is known of a content, to be told."""
        self._forget_if_old(content, now_ms)
        record = self._records.get(content)
        if record is None:
            return None
        finished_age_ms = now_ms - record.finished_ms
        if math.isinf(finished_age_ms):
            finished_age_ms = messages.NEVER_FINISHED
        ended = tuple(
            messages.EndedIncarnation(
                incarnation, now_ms - each.at_ms, each.weight
            )
            for incarnation, each in record.ended.items()
        )
        return messages.PoisonReport(content, ended, finished_age_ms)

    def rank(self, now_ms: float) -> list[str]:
        """Returns all contents, those under which most ended first."""
        for content in list(self._records):
            self._forget_if_old(content, now_ms)
        return sorted(self._records, key=self._rate, reverse=True)

    def _rate(self, content: str) -> tuple[int, float]:
        record = self._records[content]
        return len(record.ended), record.last_ms()

    def _add(
        self,
        content: str,
        incarnation: incarnations.Incarnation,
        at_ms: float,
        weight: float,
    ) -> bool:
        """Adds a life that ended; returns whether it is news."""
        record = self._records.setdefault(content, _Record())
        known = record.ended.get(incarnation)
        if known is not None:
            is_more = weight > known.weight
            known.weight = max(known.weight, weight)
            return is_more
        if at_ms <= record.finished_ms or len(record.ended) >= LIVES_MOST:
            return False
        record.ended[incarnation] = _Ended(at_ms, weight)
        self._by_life.setdefault(incarnation, set()).add(content)
        return True

    def _clear(self, content: str, record: _Record, finished_ms: float) -> None:
        """Notes an end of a call, which voids what was held against it."""
        record.finished_ms = finished_ms
        for incarnation, each in list(record.ended.items()):
            if each.at_ms <= finished_ms:
                self._remove_life(content, record, incarnation)

    def _remove_life(
        self,
        content: str,
        record: _Record,
        incarnation: incarnations.Incarnation,
    ) -> None:
        del record.ended[incarnation]
        sharers = self._by_life[incarnation]
        sharers.discard(content)
        if not sharers:
            del self._by_life[incarnation]

    def _take_row(self, row: messages.PoisonReport, now_ms: float) -> bool:
        is_news = False
        if row.finished_age_ms != messages.NEVER_FINISHED:
            is_news = self._take_finished(row, now_ms)
        for each in row.ended:
            at_ms = now_ms - each.age_ms
            is_news |= self._add(
                row.fingerprint, each.incarnation, at_ms, each.weight
            )
        return is_news

    def _take_finished(self, row: messages.PoisonReport, now_ms: float) -> bool:
        finished_ms = now_ms - row.finished_age_ms
        if now_ms - finished_ms >= SUSPECT_MS:
            return False
        record = self._records.setdefault(row.fingerprint, _Record())
        if finished_ms <= record.finished_ms + FINISHED_SLACK_MS:
            return False
        self._clear(row.fingerprint, record, finished_ms)
        return True

    def _find_against(self, content: str) -> list[float]:
        """Returns the weights of the lives that no other content explains."""
        record = self._records.get(content)
        if record is None:
            return []
        return [
            each.weight
            for incarnation, each in record.ended.items()
            if not any(
                self._explains(other, record)
                for other in self._by_life[incarnation]
                if other != content
            )
        ]

    def _explains(self, other: str, record: _Record) -> bool:
        """Returns whether another content is the culprit where both were."""
        weight = self._records[other].weigh()
        return weight >= PROOF and weight > record.weigh()

    def _is_proved(self, content: str) -> bool:
        return sum(self._find_against(content)) >= PROOF

    def _forget_if_old(self, content: str, now_ms: float) -> None:
        record = self._records.get(content)
        if record is None:
            return
        age_ms = now_ms - record.last_ms()
        if age_ms < SUSPECT_MS:
            return
        is_proved = self._is_proved(content)
        if not is_proved or age_ms >= QUARANTINE_MS:
            self._drop(content)

    def _drop(self, content: str) -> None:
        record = self._records.pop(content)
        for incarnation in list(record.ended):
            self._remove_life(content, record, incarnation)

    def _drop_least(self, now_ms: float) -> None:
        if len(self._records) <= CONTENTS_MOST:
            return
        for content in self.rank(now_ms)[CONTENTS_KEPT:]:
            self._drop(content)


def find_weight(there_ms: float, reading_ms: float) -> float:
    """Returns how much the end of a target counts against a call.

    A prompt that one engine would read for longer can't have begun to run at
    once. Its caller's two tries of two sends each are then no proof, whatever
    crashes meanwhile.

    Args:
        there_ms: How long before the call had been sent there.
        reading_ms: How long one engine would read its prompt.
    """
    is_at_once = max(there_ms, reading_ms) <= AT_ONCE_MS
    return 1.0 if is_at_once else WEIGHT_LATER


def find_fault(rows: Rows) -> str:
    """Returns what is wrong with rows that a peer sent, or an empty text."""
    if len(rows) > TOLD_MOST:
        return f"{len(rows)} contents in one datagram"
    for row in rows:
        fault = _find_row_fault(row)
        if fault:
            return fault
    return ""


def _find_row_fault(row: messages.PoisonReport) -> str:
    if len(row.ended) > LIVES_MOST:
        return f"{len(row.ended)} lives of one content"
    finished_ms = row.finished_age_ms
    if finished_ms != messages.NEVER_FINISHED and not _is_age(finished_ms):
        return "an end in the future"
    for each in row.ended:
        if not _is_age(each.age_ms):
            return "a life that ends in the future"
        if not 0.0 < each.weight <= 1.0:
            return "a life that counts for more than one"
    return ""


def _is_age(age_ms: float) -> bool:
    return math.isfinite(age_ms) and age_ms >= 0.0
