"""Checks the promises to callers against what replicas ran."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence

from standins import gateway_caller
from standins import gateway_cluster
from standins import platform_replica

# Statuses that promise that a call did not run and never will.
_NOT_RUN = (408, 421, 429, 503)
_RESUMABLE = ("short", "long")
_REPEATABLE = (*_RESUMABLE, "safe")
# How long after its limit an answer may come.
_LATE_MS = 500.0


def find_broken(
    cluster: gateway_cluster.GatewayCluster,
    all_got: Iterable[gateway_caller.CallResult],
) -> list[str]:
    """Returns a sentence for each promise that was broken in a cluster."""
    return find_broken_by(
        cluster.all_replicas,
        all_got,
        lambda got: _was_disturbed(got, cluster),
    )


def find_broken_by(
    replicas: Sequence[platform_replica.PlatformReplica],
    all_got: Iterable[gateway_caller.CallResult],
    was_disturbed: Callable[[gateway_caller.CallResult], bool],
) -> list[str]:
    """Returns a sentence for each promise that was broken.

    Args:
        replicas: Every incarnation that ran.
        all_got: What callers got.
        was_disturbed: Whether the VM of a call could not answer meanwhile.
    """
    runs: dict[str, list[platform_replica.Run]] = {}
    for replica in replicas:
        for run in replica.runs:
            runs.setdefault(run.request_id, []).append(run)
    broken = []
    for got in all_got:
        found = runs.get(got.call.request_id, [])
        broken += [
            f"{got.call.request_id} ({got.call.route}): {each}"
            for each in _check(got, found, was_disturbed)
        ]
    for replica in replicas:
        if replica.held_tokens():
            broken.append(f"{replica.name} still holds memory")
    return broken


def _check(
    got: gateway_caller.CallResult,
    runs: list[platform_replica.Run],
    was_disturbed: Callable[[gateway_caller.CallResult], bool],
) -> Iterable[str]:
    if got.call.route not in _REPEATABLE and len(runs) > 1:
        yield f"ran {len(runs)} times"
    is_promise = got.status in _NOT_RUN
    if is_promise and runs and got.call.route not in _REPEATABLE:
        yield f"told {got.status}, but ran"
    if any(run.workspace == "somebody-else" for run in runs):
        yield "ran for another workspace"
    if got.status == 200 and got.is_complete:
        yield from _check_body(got)
    limit_ms = min(got.call.time_limit_ms, 15_000.0)
    is_late = got.status and got.took_ms > limit_ms + _LATE_MS
    if is_late and not was_disturbed(got):
        yield f"ended after {got.took_ms:.0f} ms"


def _was_disturbed(
    got: gateway_caller.CallResult, cluster: gateway_cluster.GatewayCluster
) -> bool:
    """Returns whether its VM stood still or was cut off meanwhile."""
    names = (got.call.vm, cluster.vms[got.call.vm].hall)
    ended_s = got.sent_s + got.took_ms / 1000.0
    return any(
        each.name in names and each.from_s < ended_s and got.sent_s < each.to_s
        for each in cluster.disturbances
    )


def _check_body(got: gateway_caller.CallResult) -> Iterable[str]:
    request_id = got.call.request_id
    if not got.call.prompt_tokens:
        if got.body != platform_replica.make_plain_body(request_id):
            yield f"a wrong answer: {got.body!r:.60}"
        return
    events = platform_replica.count_events(got.call.output_tokens)
    whole = b"".join(
        platform_replica.make_event(request_id, number)
        for number in range(1, events + 1)
    )
    if got.body != whole:
        yield f"a wrong stream: {got.body!r:.60}"
