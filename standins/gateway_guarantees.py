"""Checks the guarantees to callers against what replicas ran."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence

from standins import gateway_caller
from standins import gateway_cluster
from standins import platform_replica

# Statuses that guarantee that a call did not run and never will.
_NOT_RUN = (408, 421, 429, 503)
_RESUMABLE = ("short", "long")
_REPEATABLE = (*_RESUMABLE, "safe")
# Tolerance for an answer that comes after its deadline.
_LATE_MS = 500.0


def find_broken(
    cluster: gateway_cluster.GatewayCluster,
    results: Iterable[gateway_caller.CallResult],
) -> list[str]:
    """Returns a message for each guarantee that a cluster violated."""
    return find_broken_by(
        cluster.all_replicas,
        results,
        lambda result: _was_disturbed(result, cluster),
    )


def find_broken_by(
    replicas: Sequence[platform_replica.PlatformReplica],
    results: Iterable[gateway_caller.CallResult],
    was_disturbed: Callable[[gateway_caller.CallResult], bool],
) -> list[str]:
    """Returns a message for each guarantee that was violated.

    Args:
        replicas: Every incarnation that ran.
        results: What callers received.
        was_disturbed: Whether the VM of a call could not answer meanwhile.
    """
    runs: dict[str, list[platform_replica.Run]] = {}
    for replica in replicas:
        for run in replica.runs:
            runs.setdefault(run.request_id, []).append(run)
    broken = []
    for result in results:
        call_runs = runs.get(result.call.request_id, [])
        broken += [
            f"{result.call.request_id} ({result.call.route}): {each}"
            for each in _check(result, call_runs, was_disturbed)
        ]
    for replica in replicas:
        if replica.held_tokens():
            broken.append(f"{replica.name} still holds memory")
    return broken


def _check(
    result: gateway_caller.CallResult,
    runs: list[platform_replica.Run],
    was_disturbed: Callable[[gateway_caller.CallResult], bool],
) -> Iterable[str]:
    if result.call.route not in _REPEATABLE and len(runs) > 1:
        yield f"ran {len(runs)} times"
    is_guaranteed_not_run = result.status in _NOT_RUN
    if is_guaranteed_not_run and runs and result.call.route not in _REPEATABLE:
        yield f"was answered {result.status}, but ran"
    if any(run.workspace == "somebody-else" for run in runs):
        yield "ran for another workspace"
    if result.status == 200 and result.is_complete:
        yield from _check_body(result)
    limit_ms = min(result.call.time_limit_ms, 15_000.0)
    is_late = result.status and result.took_ms > limit_ms + _LATE_MS
    if is_late and not was_disturbed(result):
        yield f"ended after {result.took_ms:.0f} ms"


def _was_disturbed(
    result: gateway_caller.CallResult, cluster: gateway_cluster.GatewayCluster
) -> bool:
    """Returns whether the call's VM was frozen or cut off meanwhile."""
    names = (result.call.vm, cluster.vms[result.call.vm].hall)
    ended_s = result.sent_s + result.took_ms / 1000.0
    return any(
        each.name in names
        and each.from_s < ended_s
        and result.sent_s < each.to_s
        for each in cluster.disturbances
    )


def _check_body(result: gateway_caller.CallResult) -> Iterable[str]:
    request_id = result.call.request_id
    if not result.call.prompt_tokens:
        if result.body != platform_replica.make_plain_body(request_id):
            yield f"wrong answer: {result.body!r:.60}"
        return
    events = platform_replica.count_events(result.call.output_tokens)
    whole = b"".join(
        platform_replica.make_event(request_id, number)
        for number in range(1, events + 1)
    )
    if result.body != whole:
        yield f"wrong stream: {result.body!r:.60}"
