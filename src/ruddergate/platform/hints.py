"""Reads what a target says of itself in the head of any answer."""

import re

from ruddergate.fleet import incarnation as incarnations
from ruddergate.fleet import target as targets
from ruddergate.http import message
from ruddergate.platform import headers
from ruddergate.platform import targets as target_entries
from ruddergate.relay import hints as hint_types

# Another target serves at that address; what it says is not of the one asked.
_MISDIRECTED = 421
# Statuses with which a target turns work away.
REFUSALS = frozenset({429, 503})
_LEAVES = "1"
_STAYS = "0"
# Seconds, fractions too; dates and signs are no number of seconds.
_SECONDS = re.compile(r"\d{1,12}(\.\d{1,12})?", re.ASCII)
_RATE = re.compile(r"\d{1,12}(\.\d{1,12})?([eE][+-]?\d{1,2})?", re.ASCII)
# The longest time for which a target is believed to want no calls: an hour. One
# that says a year is asked again after it, rather than lost to this VM.
MAX_BACKOFF_MS = 3_600_000.0


def read_hints(
    target: targets.Target,
    status: int,
    fields: message.Fields,
    document: object = None,
    request_id: str = "",
    is_call: bool = False,
    sent_ms: float = 0.0,
) -> hint_types.Hints:
    """Returns what the target says of itself.

    Args:
        target: Who was asked, as it was known then.
        status: HTTP status of the answer.
        fields: Header lines of the answer, names in lower case.
        document: The answer's body, where it is read as JSON.
        request_id: The call that was answered, or empty.
        is_call: Whether a call was answered, and no order or probe.
        sent_ms: When the request was sent.
    """
    started_ms = target_entries.read_started_ms(document)
    incarnation = _find_life(target, started_ms)
    if status == _MISDIRECTED:
        return hint_types.Hints(incarnation)
    is_draining, wrong_word = _read_leaving(
        _find_words(fields, headers.DRAINING)
    )
    backoff_ms, wrong_time = None, ""
    if status in REFUSALS:
        times = _find_words(fields, headers.RETRY_AFTER, separator="")
        backoff_ms, wrong_time = _read_quiet_ms(times)
    rates = _find_words(fields, headers.RATE_LIMIT)
    rate_limit_per_s, wrong_rate = _read_rate_limit(rates)
    problems = tuple(filter(None, (wrong_word, wrong_time, wrong_rate)))
    return hint_types.Hints(
        incarnation,
        is_draining,
        backoff_ms,
        problems,
        request_id,
        has_start_time=started_ms != incarnations.START_UNKNOWN,
        rate_limit_per_s=rate_limit_per_s,
        is_unlimited=not rates,
        is_call=is_call,
        sent_ms=sent_ms,
    )


def refutes_draining(said: hint_types.Hints, status: int) -> bool:
    """Returns whether an answer is proof that its target does not leave.

    One that leaves says so in each of its answers, and a word without a meaning
    does not.
    """
    return status != _MISDIRECTED and not said.is_draining


def _find_life(
    target: targets.Target, started_ms: int
) -> incarnations.Incarnation:
    """Returns whose statement it is.

    An answer that tells another start than was known comes from another life;
    where starts were not known, the name stands for the life.
    """
    if incarnations.START_UNKNOWN in (started_ms, target.started_ms):
        return target.incarnation
    return incarnations.Incarnation(target.target_id, started_ms)


def _find_words(
    fields: message.Fields, name: str, separator: str = ","
) -> list[str]:
    """Returns all values of a header, which may stand more than once."""
    values = [value for found, value in fields if found == name]
    if separator:
        values = [word for each in values for word in each.split(separator)]
    return [each.strip() for each in values]


def _read_leaving(words: list[str]) -> tuple[bool, str]:
    """Returns whether it leaves, and what is wrong with what it says."""
    wrong = [word for word in words if word not in (_LEAVES, _STAYS)]
    detail = f"leaving is {wrong[0]!r:.40}" if wrong else ""
    return _LEAVES in words, detail


def _read_rate_limit(rates: list[str]) -> tuple[float | None, str]:
    """Returns the lowest limit named, and what is wrong with the others."""
    sound = [float(each) for each in rates if _RATE.fullmatch(each)]
    wrong = [each for each in rates if not _RATE.fullmatch(each)]
    detail = f"a rate limit is {wrong[0]!r:.40}" if wrong else ""
    return min(sound, default=None), detail


def _read_quiet_ms(times: list[str]) -> tuple[float | None, str]:
    """Returns the longest time told, and what is wrong with what is told."""
    sound = [float(each) for each in times if _SECONDS.fullmatch(each)]
    wrong = [each for each in times if not _SECONDS.fullmatch(each)]
    detail = f"a time to wait is {wrong[0]!r:.40}" if wrong else ""
    told_ms = max(sound, default=0.0) * 1_000.0
    if told_ms > MAX_BACKOFF_MS:
        detail = f"a time to wait is {told_ms / 1_000.0:.0f} s"
    if not sound:
        return None, detail
    return min(told_ms, MAX_BACKOFF_MS), detail
