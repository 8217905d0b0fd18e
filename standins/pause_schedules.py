"""Random schedules of engines that pause while settings change.

`python -m standins.pause_schedules --first 1 --count 100` runs many. All
engines or some pause, once or in series, and answer health probes meanwhile or
not. Time limits, idle times and routes change all the while. The retry budget
may be drained, two engines may crash right after a pause of all, and the first
engine of a long prompt may go dark for good. It prints the seeds in which a
request that ran was cut without a failure of its engines, something ran twice
that must not, memory on helpers was freed late, or a pause left no retries for
a real failure.
"""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import math
import random

from standins import gateway_caller
from standins import gateway_cluster
from standins import gateway_guarantees
from standins import platform_replica
from standins import schedule_runner
from standins import virtual_process

DURATION_S = 9.0
# Memory is freed within this time after the last request that used it ended.
FREE_S = 4.0
# Memory that is renewed as often as it should be lapses in no shorter pause of
# the replica that holds it.
LAPSE_S = 1.5
_MONITOR_S = 0.1
# How long after its publication a revision is in force everywhere.
_APPLIED_S = 1.5
_LATE_S = 0.5
_DRAIN_S = 0.05
# Tolerance for a deadline that passes on two clocks.
_ROUNDING_MS = 20.0
# A stream with less time left may not be served again after a crash.
_MIN_RETRY_S = 3.0
# Fewer live engines may have no place for a stream of a crashed one.
_MIN_LIVE_ENGINES = 4
_LONG_PROMPTS = (210_000, 210_000, 600_000)
_MOVED_ROUTES = ("short", "long", "once", "safe", "unsafe")
_SIGNATURE = "x-replica-signature"
_ADDED_PREFIX = "added-"


@dataclasses.dataclass(frozen=True, slots=True)
class _Pause:
    """A time in which an engine did no work."""

    replica: platform_replica.PlatformReplica
    from_s: float
    to_s: float
    is_probed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _Revision:
    """Time limits of routes, from the time of their publication."""

    at_s: float
    timeouts_ms: Mapping[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class _Crash:
    """Engines that crashed after a pause, and what that made of streams.

    Attributes:
        request_ids: Streams that ran on them and nowhere else, by their VM.
        others: Number of other requests that used them, or may have waited for
            them, and that may be sent again, by their VM.
        retries: Retries that each VM had before the pause.
    """

    request_ids: Mapping[str, Sequence[str]]
    others: Mapping[str, int]
    retries: Mapping[str, float]


class Schedule:
    """The state of one schedule.

    Args:
        seed: Seed of the schedule.
    """

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(f"pause {seed}")
        engines = self._rng.choice((3, 6, 9, 18))
        self._cluster = gateway_cluster.GatewayCluster(
            gateway_cluster.Layout(
                vms=self._rng.choice((1, 2, 4, 9)),
                halls=self._rng.choice((1, 3)),
                engines=engines,
                services=6,
                service_sets=2 if engines >= 6 else 1,
                seed=seed,
                reuses_names=self._rng.random() < 0.5,
            )
        )
        self._caller: gateway_caller.Caller | None = None
        self._pending: dict[str, gateway_caller.Call] = {}
        self._results: dict[str, gateway_caller.CallResult] = {}
        self._ended_s: dict[str, float] = {}
        self._pauses: list[_Pause] = []
        self._revisions: list[_Revision] = []
        self._crashes: list[_Crash] = []
        # When engines crashed or went dark, by incarnation.
        self._failed_s: dict[platform_replica.PlatformReplica, float] = {}
        self._leaks: dict[str, str] = {}
        self._counts: collections.Counter[str] = collections.Counter()
        self._routes: list[dict[str, object]] = []
        self._limits: dict[str, object] = {}
        self._added = 0
        self._is_drained = False

    async def run(self) -> schedule_runner.Result:
        """Runs the schedule."""
        self._caller = gateway_caller.Caller(self._cluster)
        self._reset_routes()
        await self._cluster.start()
        self._revisions.append(self._make_revision())
        watching = asyncio.ensure_future(self._watch_memory())
        troubles = [
            asyncio.ensure_future(each)
            for each in (
                self._pause_in_series(),
                self._change_settings(),
                *([self._darken()] if self._rng.random() < 0.3 else []),
            )
        ]
        await self._send_calls()
        await asyncio.gather(*troubles)
        # Until the last reservations must have been freed.
        await asyncio.sleep(FREE_S + 0.5)
        watching.cancel()
        return schedule_runner.Result(self._find_broken(), self._counts)

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    def _list_engines(self) -> list[gateway_cluster.Node]:
        return [
            node
            for node in self._cluster.targets.values()
            if node.replica.engine is not None
            and not node.process.is_dead
            and node.replica not in self._failed_s
        ]

    # Calls

    async def _send_calls(self) -> None:
        rng = self._rng
        engines = self._cluster.layout.engines
        routes = (
            ["long"] * (2 + engines // 2)
            + ["short"] * 6 * min(9, engines)
            + ["once"] * 2 * min(9, engines)
            + ["safe", "unsafe"] * 8
            + [_ADDED_PREFIX] * 6
        )
        calls = [
            self._send_later(rng.uniform(0.0, DURATION_S), route, number)
            for number, route in enumerate(routes)
        ]
        await asyncio.gather(*calls)

    async def _send_later(
        self, delay_s: float, route: str, number: int
    ) -> None:
        await asyncio.sleep(delay_s)
        call = self._draw_call(route, f"r{number}")
        self._pending[call.request_id] = call
        self._results[call.request_id] = await self._caller.send(call)
        self._ended_s[call.request_id] = self._now_s()
        del self._pending[call.request_id]

    def _draw_call(self, route: str, request_id: str) -> gateway_caller.Call:
        rng = self._rng
        vm = rng.choice(sorted(self._cluster.vms))
        disconnects_after_ms = rng.choice((None,) * 14 + (400.0, 3_000.0))
        if route == _ADDED_PREFIX and not self._added:
            route = "unsafe"
        if route == _ADDED_PREFIX:
            route = f"{_ADDED_PREFIX}{rng.randrange(self._added)}"
        if route not in ("short", "long", "once"):
            return gateway_caller.Call(
                request_id,
                route,
                vm,
                time_limit_ms=2_000.0,
                disconnects_after_ms=disconnects_after_ms,
                body=request_id.encode(),
            )
        is_long = route == "long"
        return gateway_caller.Call(
            request_id,
            route,
            vm,
            prompt_tokens=rng.choice(_LONG_PROMPTS) if is_long else 3_000,
            output_tokens=rng.randrange(50, 6_000 if is_long else 3_000),
            time_limit_ms=14_000.0 if is_long else 10_000.0,
            disconnects_after_ms=disconnects_after_ms,
            body=request_id.encode(),
        )

    # Pauses and failures

    async def _pause_in_series(self) -> None:
        rng = self._rng
        await asyncio.sleep(rng.uniform(0.5, 3.0))
        for _ in range(rng.choice((1, 1, 2, 3))):
            self._is_drained = rng.random() < 0.3
            draining = asyncio.ensure_future(self._drain_budgets())
            # The budgets are empty before the pause begins.
            await asyncio.sleep(0.0)
            await self._pause(rng.choice(("all", "all", "some", "writers")))
            await asyncio.sleep(rng.uniform(0.2, 2.0))
            draining.cancel()

    async def _drain_budgets(self) -> None:
        """Leaves no retries, as under many failures, until cancelled."""
        self._counts["budgets drained"] += self._is_drained
        while self._is_drained:
            for node in self._cluster.vms.values():
                node.gateway.context.budget.tokens = 0.0
            await asyncio.sleep(_DRAIN_S)

    def _choose_paused(self, scope: str) -> list[gateway_cluster.Node]:
        nodes = self._list_engines()
        if scope == "all":
            return nodes
        if scope == "some":
            return self._rng.sample(
                nodes, self._rng.randrange(1, len(nodes) + 1)
            )
        writers = {each.replica for each in self._list_helped()}
        return [node for node in nodes if node.replica.name in writers]

    def _list_helped(self) -> list[platform_replica.HelpedRun]:
        """Returns the runs under way that use memory of helpers."""
        return [
            each
            for replica in self._cluster.all_replicas
            for each in replica.helped_runs
            if each.reservations and self._now_s() < each.ended_s
        ]

    async def _pause(self, scope: str) -> None:
        rng = self._rng
        nodes = self._choose_paused(scope)
        retries = {
            name: node.gateway.context.budget.tokens
            for name, node in self._cluster.vms.items()
        }
        kind = rng.choice(("freeze", "freeze", "engine", "events"))
        self._counts[f"pauses of {scope}, {kind}"] += 1
        from_s = self._now_s()
        pause_s = rng.uniform(1.0, 3.0)
        undo = [_PAUSES[kind](node, pause_s) for node in nodes]
        await asyncio.sleep(pause_s)
        for node, resume in zip(nodes, undo, strict=True):
            # An engine that went dark meanwhile stays so.
            if node.replica not in self._failed_s:
                resume()
            self._pauses.append(
                _Pause(node.replica, from_s, self._now_s(), kind != "freeze")
            )
        if scope == "all" and rng.random() < 0.5:
            await asyncio.sleep(rng.choice((0.0, 0.05, 0.3)))
            self._crash_two(retries)

    def _crash_two(self, retries: Mapping[str, float]) -> None:
        """Crashes the engines with the most streams, after a pause."""
        live = self._list_engines()
        crashed = sorted(
            live, key=lambda each: -len(each.replica.engine.streams)
        )[:2]
        if len(live) - len(crashed) < _MIN_LIVE_ENGINES:
            return
        self._counts["crashes of two"] += 1
        request_ids: dict[str, list[str]] = {}
        others: collections.Counter[str] = collections.Counter()
        replicas = {each.replica for each in crashed}
        for call in self._pending.values():
            used = self._find_used(call.request_id)
            if call.route == "short" and used and used <= replicas:
                request_ids.setdefault(call.vm, []).append(call.request_id)
            elif call.route in ("short", "long") and (
                not used or used & replicas
            ):
                # One that a frozen engine has not read leaves no trace there.
                others[call.vm] += 1
        self._crashes.append(_Crash(request_ids, others, retries))
        for node in crashed:
            self._failed_s[node.replica] = self._now_s()
            self._cluster.crash_target(node)

    async def _darken(self) -> None:
        """Freezes the first engine of a long prompt for good."""
        rng = self._rng
        deadline_s = self._now_s() + DURATION_S
        has_begun = rng.random() < 0.5
        while self._now_s() < deadline_s:
            await asyncio.sleep(rng.uniform(0.05, 0.5))
            helped = [
                each
                for each in self._list_helped()
                if each.has_begun is has_begun
            ]
            if helped and rng.random() < 0.5:
                break
        else:
            return
        name = rng.choice(helped).replica
        for node in self._list_engines():
            if node.replica.name == name:
                phase = "after" if has_begun else "before"
                self._counts[f"engines gone dark, {phase} the first event"] += 1
                self._failed_s[node.replica] = self._now_s()
                node.process.freeze()
                await asyncio.sleep(gateway_cluster.CRASH_EXPIRY_S)
                self._cluster.unlist_target(node)

    # Settings

    def _reset_routes(self) -> None:
        document = gateway_cluster.make_configuration(
            self._cluster.keys, 1, self._cluster.layout
        )
        self._routes = document["routes"]

    def _make_revision(self) -> _Revision:
        return _Revision(
            self._now_s(),
            {each["name"]: each["timeout-ms"] for each in self._routes},
        )

    async def _change_settings(self) -> None:
        rng = self._rng
        until_s = self._now_s() + DURATION_S
        if rng.random() < 0.15:
            return
        while self._now_s() < until_s:
            await asyncio.sleep(rng.uniform(0.3, 2.0))
            for _ in range(rng.choice((1, 1, 2))):
                kind = rng.choice(("timeout", "idle", "move", "add"))
                self._counts[f"settings: {kind}"] += 1
                _CHANGES[kind](self)
            self._cluster.publish(
                routes=[dict(each) for each in self._routes],
                limits=dict(self._limits),
            )
            self._revisions.append(self._make_revision())

    def change_timeout(self) -> None:
        """Draws another time limit of a route."""
        route = self._rng.choice(self._routes)
        longest_ms = {"long": 15_000, "short": 10_000, "once": 10_000}.get(
            route["name"], 2_000
        )
        route["timeout-ms"] = round(
            longest_ms * self._rng.choice((0.5, 0.7, 1.0, 1.0))
        )

    def change_idle_time(self) -> None:
        """Draws another time that callers' connections may be idle."""
        self._limits["idle-timeout-ms"] = self._rng.choice((500, 2_000, 60_000))

    def move_route(self) -> None:
        """Moves a route to the other service, or back."""
        name = self._rng.choice(_MOVED_ROUTES)
        route = next(each for each in self._routes if each["name"] == name)
        first = "engines" if name in ("short", "long", "once") else "notices"
        second = gateway_cluster.name_second_service(first)
        has_second = self._cluster.layout.service_sets > 1
        if has_second:
            route["service"] = second if route["service"] == first else first

    def add_route(self) -> None:
        """Adds a route to a plain service."""
        name = f"{_ADDED_PREFIX}{self._added}"
        unsafe = next(each for each in self._routes if each["name"] == "unsafe")
        self._routes.append(
            {**unsafe, "name": name, "path-prefix": f"/{name}/"}
        )
        self._added += 1

    # Judging

    async def _watch_memory(self) -> None:
        while True:
            await asyncio.sleep(_MONITOR_S)
            for replica in self._cluster.all_replicas:
                for name in replica.reservations:
                    if replica.is_reserved(name):
                        self._check_reservation(replica, name)

    def _check_reservation(
        self, holder: platform_replica.PlatformReplica, name: str
    ) -> None:
        """Records memory that is held too long after its last use."""
        if name in self._leaks or holder in self._failed_s:
            return
        used = list(self._find_uses(name))
        if not used:
            return
        ended_s = max(self._find_end_s(each) for each in used)
        now_s = self._now_s()
        held_s = now_s - ended_s
        if held_s <= FREE_S or self._was_paused(holder, ended_s, now_s):
            return
        last = used[-1]
        writer = self._find_replica(last.replica)
        state = "dark" if writer in self._failed_s else "live"
        phase = "after" if last.has_begun else "before"
        self._leaks[name] = (
            f"{last.request_id}: memory at {holder.name} is held "
            f"{held_s:.1f} s after its use at {last.replica} ({state}, "
            f"{phase} its first event)"
        )

    def _find_uses(self, name: str) -> Iterator[platform_replica.HelpedRun]:
        for replica in self._cluster.all_replicas:
            for helped in replica.helped_runs:
                if any(name == each for each, _ in helped.reservations):
                    yield helped

    def _find_end_s(self, helped: platform_replica.HelpedRun) -> float:
        """Returns when a run ended, its caller left, or its engine failed."""
        writer = self._find_replica(helped.replica)
        return min(
            helped.ended_s,
            self._failed_s.get(writer, math.inf),
            self._ended_s.get(helped.request_id, math.inf),
        )

    def _find_replica(self, name: str) -> platform_replica.PlatformReplica:
        # With names that are used again, the latest incarnation.
        return next(
            each
            for each in reversed(self._cluster.all_replicas)
            if each.name == name
        )

    def _was_paused(
        self,
        replica: platform_replica.PlatformReplica,
        from_s: float,
        to_s: float,
        min_s: float = 0.0,
    ) -> bool:
        """Returns whether a replica was frozen at some time in an interval.

        Args:
            replica: The replica.
            from_s: Begin of the interval.
            to_s: Its end.
            min_s: Shortest pause that counts.
        """
        is_frozen = any(
            node.process.is_frozen
            for node in self._cluster.targets.values()
            if node.replica is replica
        )
        return is_frozen or any(
            each.replica is replica
            and not each.is_probed
            and each.to_s - each.from_s >= min_s
            and each.from_s < to_s
            and from_s < each.to_s
            for each in self._pauses
        )

    def _find_broken(self) -> list[str]:
        broken = gateway_guarantees.find_broken(
            self._cluster,
            self._results.values(),
            lambda result: min(self._find_limits_ms(result)),
        )
        broken += self._leaks.values()
        for result in self._results.values():
            broken += self._check_result(result)
        for crash in self._crashes:
            broken += self._check_crash(crash)
        return broken

    def _check_result(self, result: gateway_caller.CallResult) -> Iterator[str]:
        self._counts["calls"] += 1
        call = result.call
        if call.disconnects_after_ms is not None:
            self._counts["caller left"] += 1
            return
        limits_ms = list(self._find_limits_ms(result))
        late_ms = result.took_ms - max(limits_ms) - _LATE_S * 1000.0
        if late_ms > 0.0:
            yield f"{call.request_id} ({call.route}): {late_ms:.0f} ms late"
        if result.is_complete and _SIGNATURE in result.headers:
            self._counts["served"] += 1
            self._counts["long prompts, served"] += call.route == "long"
            return
        replicas = self._find_runners(call.request_id)
        reason = self._find_excuse(result, replicas, min(limits_ms))
        self._counts[reason or "given up"] += 1
        if call.route == "long":
            self._counts[f"long prompts, {reason or 'given up'}"] += 1
        if reason is None:
            yield (
                f"{call.request_id} ({call.route}, {call.prompt_tokens} "
                f"tokens): ran at {len(replicas)} replicas, given up after "
                f"{result.took_ms:.0f} ms with {result.status}, "
                f"{len(result.body)} bytes {self._describe_pauses(result)}"
            )

    def _find_runners(
        self, request_id: str
    ) -> list[platform_replica.PlatformReplica]:
        """Returns the replicas that ran a request."""
        return [
            replica
            for replica in self._cluster.all_replicas
            if any(run.request_id == request_id for run in replica.runs)
        ]

    def _find_helped(
        self, request_id: str
    ) -> Iterator[platform_replica.HelpedRun]:
        for replica in self._cluster.all_replicas:
            for helped in replica.helped_runs:
                if helped.request_id == request_id:
                    yield helped

    def _find_used(
        self, request_id: str
    ) -> set[platform_replica.PlatformReplica]:
        """Returns the replicas that ran a request or helped with it."""
        helpers = {
            each
            for helped in self._find_helped(request_id)
            for each in helped.helpers
        }
        return {*self._find_runners(request_id), *helpers}

    def _describe_pauses(self, result: gateway_caller.CallResult) -> str:
        """Returns the pauses during a call, relative to its start."""
        spans = {
            (each.from_s - result.sent_s, each.to_s - result.sent_s)
            for each in self._pauses
            if each.to_s > result.sent_s
            and each.from_s < self._ended_s[result.call.request_id]
        }
        return ", ".join(
            f"pause {from_s:.1f} to {to_s:.1f} s"
            for from_s, to_s in sorted(spans)
        )

    def _find_excuse(
        self,
        result: gateway_caller.CallResult,
        replicas: Sequence[platform_replica.PlatformReplica],
        limit_ms: float,
    ) -> str | None:
        """Returns why a call that was not served was not; None if unexcused."""
        if not replicas:
            return "not run"
        if result.took_ms >= limit_ms - _ROUNDING_MS:
            return "deadline"
        request_id = result.call.request_id
        helped = list(self._find_helped(request_id))
        if any(
            self._failed_s.get(each, math.inf) <= self._ended_s[request_id]
            for each in self._find_used(request_id)
        ):
            return "engine failed"
        if any(
            self._was_paused(
                each, result.sent_s, self._ended_s[request_id], LAPSE_S
            )
            for run in helped
            for each in run.lapsed
        ):
            return "memory lapsed at a paused helper"
        return None

    def _find_limits_ms(
        self, result: gateway_caller.CallResult
    ) -> Iterator[float]:
        """Yields the time limits that may have applied to a call."""
        call = result.call
        for revision, following in zip(
            self._revisions, [*self._revisions[1:], None], strict=True
        ):
            is_old = (
                following is not None
                and following.at_s < result.sent_s - _APPLIED_S
            )
            if is_old or revision.at_s > result.sent_s + 0.1:
                continue
            timeout_ms = revision.timeouts_ms.get(call.route, math.inf)
            yield min(call.time_limit_ms, timeout_ms)

    def _check_crash(self, crash: _Crash) -> Iterator[str]:
        """Checks that a pause left the retries for the crash after it."""
        for vm, request_ids in crash.request_ids.items():
            lost = [
                each
                for each in request_ids
                if self._is_lost(self._results[each])
            ]
            self._counts["streams of crashed engines"] += len(request_ids)
            self._counts["of these lost"] += len(lost)
            needed = len(request_ids) + crash.others[vm]
            unaffordable = needed - math.floor(crash.retries[vm])
            if len(lost) > max(0, unaffordable):
                yield (
                    f"{vm} had {crash.retries[vm]:.1f} retries before a pause "
                    f"and lost {len(lost)} of {len(request_ids)} streams of "
                    f"engines that crashed after it: {lost}"
                )

    def _is_lost(self, result: gateway_caller.CallResult) -> bool:
        if result.call.disconnects_after_ms is not None or result.is_complete:
            return False
        limit_ms = min(self._find_limits_ms(result))
        return result.took_ms < limit_ms - _MIN_RETRY_S * 1000.0


def _freeze(node: gateway_cluster.Node, pause_s: float) -> Callable[[], None]:
    """Pauses an engine that answers no probes; returns what ends that."""
    node.process.freeze()
    return node.process.resume


def _pause_engine(
    node: gateway_cluster.Node, pause_s: float
) -> Callable[[], None]:
    """Pauses an engine that answers probes."""
    node.replica.engine.pause()
    return node.replica.engine.resume


def _pause_events(
    node: gateway_cluster.Node, pause_s: float
) -> Callable[[], None]:
    """Pauses streams that begin now, behind their third event."""
    faults = node.replica.faults
    faults.silent_s = pause_s

    def resume() -> None:
        faults.silent_s = 0.0

    return resume


_PAUSES: Mapping[
    str, Callable[[gateway_cluster.Node, float], Callable[[], None]]
] = {"freeze": _freeze, "engine": _pause_engine, "events": _pause_events}
_CHANGES: Mapping[str, Callable[[Schedule], None]] = {
    "timeout": Schedule.change_timeout,
    "idle": Schedule.change_idle_time,
    "move": Schedule.move_route,
    "add": Schedule.add_route,
}


def run_schedule(seed: int) -> schedule_runner.Result:
    """Runs one schedule."""
    return virtual_process.run(lambda: Schedule(seed).run())


if __name__ == "__main__":
    schedule_runner.run_command(run_schedule)
