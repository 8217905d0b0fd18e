"""Random schedules of planned stops under load on kept connections.

`python -m standins.stop_schedules --first 1 --count 100` runs many. Callers
send one request after the other on the same connections, at once or after a
while, some with their bodies in two halves; streams begin before the stop and
end after it. The process may get several stop signals, and may be suspended
when the first one comes, just before, or later in its stop. It prints the seeds
in which a request that a gateway had passed on was cut, a request was read
without being answered, or the stop took longer than it may.
"""

import asyncio
import collections
from collections.abc import Mapping
import contextlib
import dataclasses
import random

from ruddergate import environment
from standins import gateway_caller
from standins import gateway_cluster
from standins import kept_connection
from standins import schedule_runner
from standins import stop_judge
from standins import virtual_process

GRACE_S = stop_judge.GRACE_S
# A request counts if nothing but the stop disturbed its VM for so long before.
CONTACT_S = 3.0
_VM = "vm-0"
_WARM_UP_S = 2.0
_TOKENS_PER_S = 1_000.0
_DELIVERY_S = 0.1
# Longest suspensions that begin before the signal; some may outlast the grace.
_SUSPENDED_MAX_S = (1.0, 4.0, 10.0)
# The signal comes at most this long after a suspension that it meets.
_RESUMED_S = 0.3
# The process ends by itself this long before the end of the grace.
_MARGIN_S = 0.4
_ROUTES = ("short", "short", "unsafe", "safe", "once")


@dataclasses.dataclass(frozen=True, slots=True)
class Suspension:
    """A suspension of the process.

    Attributes:
        began_s: When it began.
        ended_s: When the process resumed, had it not been killed before.
    """

    began_s: float
    ended_s: float


class Schedule:
    """The state of one schedule.

    Args:
        seed: Seed of the schedule.
    """

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(f"stop {seed}")
        self._cluster = gateway_cluster.GatewayCluster(
            gateway_cluster.Layout(
                vms=2,
                halls=1,
                engines=self._rng.choice((3, 6)),
                services=2,
                seed=seed,
            )
        )
        self._exchanges: list[stop_judge.Exchange] = []
        # Of its own, so that a seed's other draws don't depend on it.
        self._suspension_rng = random.Random(f"suspension {seed}")
        self._suspension: Suspension | None = None
        self._stop_s = 0.0
        self._took_s = 0.0
        self._count = 0

    async def run(self) -> schedule_runner.Result:
        """Runs the schedule."""
        await self._cluster.start()
        process = virtual_process.VirtualProcess("callers", "")
        env = self._cluster.network.make_environment(process, 1)
        stopping = asyncio.ensure_future(self._stop())
        await process.start(lambda: self._run_callers(env))
        await stopping
        return schedule_runner.Result(self._find_broken(), self._count_events())

    async def _stop(self) -> None:
        rng = self._rng
        loop = asyncio.get_running_loop()
        node = self._cluster.vms[_VM]
        signal_s = loop.time() + _WARM_UP_S + rng.uniform(0.0, 6.0)
        if self._suspension_rng.random() < 0.1:
            duration_s = self._suspension_rng.uniform(
                0.1, self._suspension_rng.choice(_SUSPENDED_MAX_S)
            )
            began_s = signal_s - self._suspension_rng.uniform(
                0.0, min(duration_s + _RESUMED_S, _WARM_UP_S)
            )
            self._suspend(node, began_s, duration_s)
        await asyncio.sleep(signal_s - loop.time())
        if rng.random() < 0.2:
            duration_s = rng.uniform(0.1, 2.0)
            if self._suspension is None:
                self._suspend(node, loop.time(), duration_s)
        if self._suspension_rng.random() < 0.15 and self._suspension is None:
            began_s = signal_s + self._suspension_rng.uniform(0.0, 7.0)
            duration_s = self._suspension_rng.uniform(0.1, 3.0)
            self._suspend(node, began_s, duration_s)
        self._stop_s = loop.time()
        node.stop.set()
        for _ in range(rng.randrange(3)):
            loop.call_later(rng.uniform(0.0, 7.0), node.stop.set)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(GRACE_S):
                await asyncio.shield(node.task)
        self._took_s = loop.time() - self._stop_s
        if node.task.done():
            # The system still delivers what a process that has ended had sent.
            await asyncio.sleep(_DELIVERY_S)
        self._cluster.kill(node)

    def _suspend(
        self, node: gateway_cluster.Node, began_s: float, duration_s: float
    ) -> None:
        loop = asyncio.get_running_loop()
        self._suspension = Suspension(began_s, began_s + duration_s)
        if began_s <= loop.time():
            node.process.freeze()
        else:
            loop.call_at(began_s, node.process.freeze)
        loop.call_at(began_s + duration_s, node.process.resume)

    async def _run_callers(self, env: environment.Environment) -> None:
        callers = [
            self._run_caller(env) for _ in range(self._rng.randrange(4, 24))
        ]
        await asyncio.gather(*callers)

    async def _run_caller(self, env: environment.Environment) -> None:
        """Sends requests until a connection can't be made any more."""
        rng = self._rng
        address = environment.Address(_VM, gateway_cluster.FRONT_PORT)
        await asyncio.sleep(rng.uniform(0.0, 4.0))
        while True:
            try:
                async with asyncio.timeout(1.0):
                    streams = await env.connect(address)
            except (OSError, TimeoutError):
                return
            connection = kept_connection.KeptConnection(*streams)
            is_first = True
            while await self._exchange(connection, address, is_first):
                is_first = False
                if rng.random() < 0.5:
                    await asyncio.sleep(rng.choice((0.0, 0.001, 0.02, 0.5)))
            connection.close()

    async def _exchange(
        self,
        connection: kept_connection.KeptConnection,
        address: environment.Address,
        is_first: bool,
    ) -> bool:
        """Sends one request; returns whether another may follow."""
        rng = self._rng
        loop = asyncio.get_running_loop()
        call = self._draw_call()
        data = connection.encode(gateway_caller.make_request(call), address)
        began_s = loop.time()
        if rng.random() < 0.2:
            cut = rng.randrange(1, len(data))
            connection.write_part(data[:cut])
            await asyncio.sleep(rng.uniform(0.0, 4.0))
            data = data[cut:]
        connection.write_part(data)
        sent_s = loop.time()
        answer = await connection.read_answer()
        self._exchanges.append(
            stop_judge.Exchange(
                call, is_first, began_s, sent_s, loop.time(), answer
            )
        )
        return not answer.closes

    def _draw_call(self) -> gateway_caller.Call:
        rng = self._rng
        self._count += 1
        route = rng.choice(_ROUTES)
        if route not in ("short", "once"):
            return gateway_caller.Call(
                f"r{self._count}", route, _VM, time_limit_ms=2_000.0
            )
        output_tokens = round(rng.uniform(0.1, 7.0) * _TOKENS_PER_S)
        return gateway_caller.Call(
            f"r{self._count}",
            route,
            _VM,
            prompt_tokens=2_000,
            output_tokens=output_tokens,
            time_limit_ms=rng.choice((3_000.0, 10_000.0)),
        )

    def _find_broken(self) -> list[str]:
        broken = []
        if self._took_s >= GRACE_S and not self._may_be_killed():
            broken.append(f"the stop took {self._took_s:.2f} s")
        works = stop_judge.list_works(self._cluster)
        timeouts_ms = stop_judge.find_timeouts_ms(self._cluster)
        for each in self._exchanges:
            own = works.get(each.call.request_id, ())
            loss = stop_judge.find_loss(
                each, self._stop_s, own, timeouts_ms[each.call.route]
            )
            if loss.is_violation() and not self._was_suspended(each):
                broken.append(
                    stop_judge.describe_cut(each, self._stop_s, own, loss)
                )
        broken += stop_judge.find_refused_runs(
            self._exchanges, works, frozenset(_ROUTES)
        )
        broken += stop_judge.find_mixed(self._exchanges)
        return broken

    def _may_be_killed(self) -> bool:
        """Returns whether a suspension hid the signal or the last moments."""
        suspension = self._suspension
        if suspension is None:
            return False
        return (
            suspension.began_s <= self._stop_s <= suspension.ended_s
            or suspension.ended_s > self._stop_s + GRACE_S - _MARGIN_S
        )

    def _was_suspended(self, exchange: stop_judge.Exchange) -> bool:
        """Returns whether a suspension disturbed the VM of a request."""
        suspension = self._suspension
        return (
            suspension is not None
            and exchange.sent_s < suspension.ended_s + CONTACT_S
            and exchange.ended_s > suspension.began_s
        )

    def _count_events(self) -> Mapping[str, int]:
        counts: collections.Counter[str] = collections.Counter()
        for each in self._exchanges:
            counts["requests"] += 1
            is_later = each.sent_s > self._stop_s
            counts["sent after the signal"] += is_later
            counts["of these on used connections"] += (
                is_later and not each.is_first
            )
            counts["of these answered"] += is_later and each.answer.is_complete
            counts["refused"] += each.answer.status == 503
            counts["cut"] += not each.answer.is_complete
        if self._suspension is not None:
            is_later = self._suspension.began_s > self._stop_s
            counts["suspended after the signal"] += is_later
            counts["suspended when the signal came"] += not is_later
        return counts


def run_schedule(seed: int) -> schedule_runner.Result:
    """Runs one schedule."""
    return virtual_process.run(lambda: Schedule(seed).run())


if __name__ == "__main__":
    schedule_runner.run_command(run_schedule)
