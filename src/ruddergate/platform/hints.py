"""Reads the hints that a target sends in the headers of any response."""

import re

from ruddergate.fleet import incarnation as incarnations
from ruddergate.fleet import target as targets
from ruddergate.http import message
from ruddergate.platform import headers
from ruddergate.platform import targets as target_entries
from ruddergate.relay import hints as hint_types

# Another target serves at this address; its hints are not those of the target
# that the request was meant for.
_MISDIRECTED = 421
# Statuses with which a target rejects work.
REFUSALS = frozenset({429, 503})
_DRAINING = "1"
_NOT_DRAINING = "0"
# Seconds, possibly with a fraction. Dates and signed numbers are not accepted.
_SECONDS = re.compile(r"\d{1,12}(\.\d{1,12})?", re.ASCII)
_RATE = re.compile(r"\d{1,12}(\.\d{1,12})?([eE][+-]?\d{1,2})?", re.ASCII)
# Longest backoff that is honored: one hour. A target that asks for a year is
# tried again after this time rather than lost to this VM.
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
    """Returns the hints in a response.

    Args:
        target: The target that the request was sent to, as known then.
        status: HTTP status of the response.
        fields: Header lines of the response, names in lower case.
        document: The body of the response, if it was parsed as JSON.
        request_id: Id of the request that it responds to, or empty.
        is_call: Whether it responds to a caller's request, not to an order or
            a probe.
        sent_ms: When the request was sent.
    """
    started_ms = target_entries.read_started_ms(document)
    incarnation = _find_incarnation(target, started_ms)
    if status == _MISDIRECTED:
        return hint_types.Hints(incarnation)
    is_draining, draining_problem = _read_draining(
        _find_values(fields, headers.DRAINING)
    )
    backoff_ms, backoff_problem = None, ""
    if status in REFUSALS:
        times = _find_values(fields, headers.RETRY_AFTER, separator="")
        backoff_ms, backoff_problem = _read_backoff_ms(times)
    rates = _find_values(fields, headers.RATE_LIMIT)
    rate_limit_per_s, rate_problem = _read_rate_limit(rates)
    problems = tuple(
        filter(None, (draining_problem, backoff_problem, rate_problem))
    )
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


def refutes_draining(hints: hint_types.Hints, status: int) -> bool:
    """Returns whether a response proves that its target is not draining.

    A draining target says so in each of its responses, and a malformed value
    does not say so.
    """
    return status != _MISDIRECTED and not hints.is_draining


def _find_incarnation(
    target: targets.Target, started_ms: int
) -> incarnations.Incarnation:
    """Returns the incarnation that sent the response.

    A response with a start time other than the known one comes from another
    incarnation. If either start time is unknown, the target's name identifies
    the incarnation.
    """
    if incarnations.START_UNKNOWN in (started_ms, target.started_ms):
        return target.incarnation
    return incarnations.Incarnation(target.target_id, started_ms)


def _find_values(
    fields: message.Fields, name: str, separator: str = ","
) -> list[str]:
    """Returns all values of a header, which may occur more than once."""
    values = [value for field, value in fields if field == name]
    if separator:
        values = [item for each in values for item in each.split(separator)]
    return [each.strip() for each in values]


def _read_draining(values: list[str]) -> tuple[bool, str]:
    """Returns whether the target is draining, and what is malformed."""
    invalid = [
        value for value in values if value not in (_DRAINING, _NOT_DRAINING)
    ]
    detail = f"malformed draining value {invalid[0]!r:.40}" if invalid else ""
    return _DRAINING in values, detail


def _read_rate_limit(rates: list[str]) -> tuple[float | None, str]:
    """Returns the lowest rate limit, and what is malformed."""
    valid = [float(each) for each in rates if _RATE.fullmatch(each)]
    invalid = [each for each in rates if not _RATE.fullmatch(each)]
    detail = f"malformed rate limit {invalid[0]!r:.40}" if invalid else ""
    return min(valid, default=None), detail


def _read_backoff_ms(times: list[str]) -> tuple[float | None, str]:
    """Returns the longest backoff time, and what is malformed."""
    valid = [float(each) for each in times if _SECONDS.fullmatch(each)]
    invalid = [each for each in times if not _SECONDS.fullmatch(each)]
    detail = f"malformed backoff time {invalid[0]!r:.40}" if invalid else ""
    longest_ms = max(valid, default=0.0) * 1_000.0
    if longest_ms > MAX_BACKOFF_MS:
        detail = f"excessive backoff time of {longest_ms / 1_000.0:.0f} s"
    if not valid:
        return None, detail
    return min(longest_ms, MAX_BACKOFF_MS), detail
