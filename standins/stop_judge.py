"""Judges requests around planned stops by the rules LOST, REFUSED and ORDER.

A request that was read whole and whose connection then ends without a complete
answer is lost once it was passed on to a replica, or if the connection ends
some time after the request's last byte.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import enum

from standins import gateway_caller
from standins import gateway_cluster
from standins import kept_connection
from standins import platform_replica

GRACE_S = 8.0
# What a replica is still at work on in the last sixth of the grace may be cut,
# if it was sent no later than this after the signal.
EXCUSED_SENT_S = 3.0
EXCUSED_FROM_S = GRACE_S * 5.0 / 6.0
# Up to this time after its last byte, a request that was not passed on may have
# crossed the close of its connection.
LOSS_SLACK_S = 0.2
# Tolerance for a deadline that passes on two clocks.
_ROUNDING_MS = 1.0
# These say that a request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Loss(enum.Enum):
    """How a request ended without a complete answer."""

    NONE = "answered"
    CROSSED = "crossed the close"
    LATE = "its time was over"
    BROKEN_OFF = "its replica broke off"
    RESUMING = "its replica broke off, no other resumed it yet"
    AT_WORK = "its replica was at work in the last sixth"
    NOT_PASSED_ON = "never passed on"
    BETWEEN_ATTEMPTS = "passed on, waited for another replica"
    UNDELIVERED = "its replica had ended"
    NOT_BEGUN = "a replica held it and didn't run it"
    NOT_AT_WORK = "its replica was not at work in the last sixth"
    SENT_LATE = "its replica was at work, it was sent late in the stop"

    def is_violation(self) -> bool:
        """Returns whether nothing excuses the end of the request."""
        return self not in (
            Loss.NONE,
            Loss.CROSSED,
            Loss.LATE,
            Loss.BROKEN_OFF,
            Loss.RESUMING,
            Loss.AT_WORK,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """One request on a kept connection.

    Attributes:
        call: The request.
        is_first: Whether it is the first one on its connection.
        began_s: When its first byte was sent.
        sent_s: When its last byte was sent.
        ended_s: When its answer or its connection ended.
        answer: What the caller received.
    """

    call: gateway_caller.Call
    is_first: bool
    began_s: float
    sent_s: float
    ended_s: float
    answer: kept_connection.Answer


# What replicas did about requests, by the caller's id.
Works = Mapping[str, Sequence[platform_replica.Work]]


def list_works(cluster: gateway_cluster.GatewayCluster) -> Works:
    """Returns what all replicas did about requests, in order of time."""
    works: dict[str, list[platform_replica.Work]] = {}
    for replica in cluster.all_replicas:
        for work in replica.works:
            works.setdefault(work.request_id, []).append(work)
    for each in works.values():
        each.sort(key=lambda work: work.arrived_s)
    return works


def find_timeouts_ms(
    cluster: gateway_cluster.GatewayCluster,
) -> Mapping[str, float]:
    """Returns the time limits of the cluster's routes."""
    document = gateway_cluster.make_configuration(
        cluster.keys, cluster.revision, cluster.layout
    )
    return {each["name"]: each["timeout-ms"] for each in document["routes"]}


def is_whole(exchange: Exchange) -> bool:
    """Returns whether a request got the whole answer of a replica."""
    answer = exchange.answer
    if answer.status != 200 or not answer.is_complete:
        return False
    call = exchange.call
    if not call.prompt_tokens:
        body = platform_replica.make_plain_body(call.request_id)
        return answer.body == body
    events = platform_replica.count_events(call.output_tokens)
    return answer.body == b"".join(
        platform_replica.make_event(call.request_id, number)
        for number in range(1, events + 1)
    )


def find_loss(
    exchange: Exchange,
    signal_s: float,
    works: Sequence[platform_replica.Work],
    timeout_ms: float,
) -> Loss:
    """Returns how a request ended, if without a complete answer.

    Args:
        exchange: The request.
        signal_s: When its VM got its first signal to stop; infinity for never.
        works: What replicas did about it.
        timeout_ms: Time limit of its route.
    """
    if exchange.answer.is_complete:
        return Loss.NONE
    held_s = exchange.ended_s - exchange.sent_s
    if not works and held_s <= LOSS_SLACK_S:
        return Loss.CROSSED
    took_ms = (exchange.ended_s - exchange.began_s) * 1_000.0
    limit_ms = min(exchange.call.time_limit_ms, timeout_ms)
    if took_ms >= limit_ms - _ROUNDING_MS:
        return Loss.LATE
    if not works:
        return Loss.NOT_PASSED_ON
    is_sent_in_time = exchange.sent_s - signal_s <= EXCUSED_SENT_S
    excused_s = signal_s + EXCUSED_FROM_S
    if (
        is_sent_in_time
        and exchange.ended_s >= excused_s
        and any(was_at_work(work, excused_s) for work in works)
    ):
        return Loss.AT_WORK
    has_broken_off = any(
        _has_broken_off(work, exchange.ended_s) for work in works
    )
    if _find_end_s(works) < exchange.ended_s - LOSS_SLACK_S:
        return _find_loss_of_waiting(exchange, has_broken_off)
    if has_broken_off:
        return Loss.BROKEN_OFF
    if not any(map(has_run, works)):
        return Loss.NOT_BEGUN
    return Loss.NOT_AT_WORK if is_sent_in_time else Loss.SENT_LATE


def _find_loss_of_waiting(exchange: Exchange, has_broken_off: bool) -> Loss:
    """Returns how a request ended that no replica had any more.

    One that broke off is no reason to give no answer later. But nothing can be
    said after the head of an answer.
    """
    if exchange.answer.status == 0:
        return Loss.BETWEEN_ATTEMPTS
    return Loss.RESUMING if has_broken_off else Loss.UNDELIVERED


def _find_end_s(works: Sequence[platform_replica.Work]) -> float:
    """Returns when the last replica was no longer concerned with a request."""
    return max(
        min(work.ended_s, work.broke_off_s, work.replica.crashed_s)
        for work in works
    )


def has_run(work: platform_replica.Work) -> bool:
    """Returns whether a replica began to run a request."""
    return work.began_s != float("inf")


def was_at_work(work: platform_replica.Work, from_s: float) -> bool:
    """Returns whether a replica ran a request at some time from one on.

    One that accepted the request and didn't begin its run was not at work.
    """
    return has_run(work) and work.ended_s >= from_s


def _has_broken_off(work: platform_replica.Work, until_s: float) -> bool:
    """Returns whether a replica ended a request before another time."""
    replica_ended_s = min(work.broke_off_s, work.replica.crashed_s)
    return replica_ended_s <= min(until_s, work.ended_s)


def find_refused_runs(
    exchanges: Iterable[Exchange], works: Works, routes: Iterable[str]
) -> list[str]:
    """Returns messages for requests that ran and were told that they did not.

    Args:
        exchanges: The requests.
        works: What replicas did.
        routes: Routes whose requests are judged.
    """
    return [
        f"{each.call.request_id} ({each.call.route}) ran and got "
        f"{each.answer.status}"
        for each in exchanges
        if each.call.route in routes
        and each.answer.status in NOT_RUN_STATUSES
        and any(map(has_run, works.get(each.call.request_id, ())))
    ]


def find_mixed(exchanges: Iterable[Exchange]) -> list[str]:
    """Returns messages for answers that look complete and are not whole."""
    return [
        f"{each.call.request_id} ({each.call.route}) got an answer that looks "
        "complete and is not"
        for each in exchanges
        if each.answer.status == 200
        and each.answer.is_complete
        and not is_whole(each)
    ]


def describe_cut(
    exchange: Exchange,
    signal_s: float,
    works: Sequence[platform_replica.Work],
    loss: Loss,
) -> str:
    """Returns a message about a cut request, in times from the signal."""
    call = exchange.call
    runs = "; ".join(
        f"{work.replica.name} from {work.arrived_s - signal_s:.2f} to "
        f"{work.ended_s - signal_s:.2f} s" + ("" if has_run(work) else " unrun")
        for work in works
    )
    return (
        f"{call.request_id} ({call.route}, {call.prompt_tokens} tokens, "
        f"{call.time_limit_ms:.0f} ms) was sent "
        f"{exchange.began_s - signal_s:.2f} to "
        f"{exchange.sent_s - signal_s:.2f} s after the signal and cut at "
        f"{exchange.ended_s - signal_s:.2f} s with status "
        f"{exchange.answer.status}: {loss.value} [{runs}]"
    )
