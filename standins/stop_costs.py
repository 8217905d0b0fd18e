"""Counts what planned stops cost callers and engines."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import math

from standins import platform_replica
from standins import stop_judge

_REFUSED = 503


def count_exchange(
    exchange: stop_judge.Exchange,
    signal_s: float,
    works: Sequence[platform_replica.Work],
    loss: stop_judge.Loss,
) -> Mapping[str, int]:
    """Returns what became of a request, as counts of 0, 1 or tokens.

    Args:
        exchange: The request.
        signal_s: When its VM got its first signal to stop; infinity for never.
        works: What replicas did about it.
        loss: How it ended.
    """
    counts: collections.Counter[str] = collections.Counter()
    is_whole = stop_judge.is_whole(exchange)
    read_tokens = round(sum(work.read_tokens for work in works))
    wasted_tokens = 0 if is_whole else read_tokens
    counts["requests"] = 1
    counts["whole answers"] = is_whole
    counts["prompt tokens read"] = read_tokens
    counts["prompt tokens read for no whole answer"] = wasted_tokens
    if not _is_around_stop(exchange, signal_s):
        return counts
    is_earlier = exchange.sent_s <= signal_s
    had_arrived = any(work.arrived_s <= signal_s for work in works)
    status = exchange.answer.status or "none"
    around = {
        "": 1,
        "whole answers": is_whole,
        f"status {status}": 1,
        "waited at the signal": is_earlier and not had_arrived,
        "at replicas at the signal": is_earlier and had_arrived,
        "sent after it": not is_earlier,
        "prompt tokens read for no whole answer": wasted_tokens,
    }
    for name, number in around.items():
        counts[f"around stops: {name or 'all'}"] = number
    if loss is not stop_judge.Loss.NONE:
        counts[f"cut: {loss.value}"] = 1
    return counts


def list_refusals_ms(
    exchanges: Iterable[stop_judge.Exchange], signals_s: Mapping[str, float]
) -> Sequence[float]:
    """Returns times from signals, or from later requests, to refusals.

    Args:
        exchanges: The requests.
        signals_s: When VMs got their first signals to stop.
    """
    times_ms = []
    for each in exchanges:
        signal_s = signals_s.get(each.call.vm, math.inf)
        is_refused = each.answer.status == _REFUSED
        if is_refused and _is_around_stop(each, signal_s):
            from_s = max(signal_s, each.sent_s)
            times_ms.append((each.ended_s - from_s) * 1_000.0)
    return times_ms


def _is_around_stop(exchange: stop_judge.Exchange, signal_s: float) -> bool:
    """Returns whether a stop may have affected a request."""
    return signal_s <= exchange.ended_s <= signal_s + stop_judge.GRACE_S
