"""Random schedules of stops of gateways whose pools are full.

`python -m standins.loaded_stops --first 1 --count 100` runs many. Callers send
more than few engines can take, before and after the signal, on kept and new
connections, with their bodies in halves or in chunks. Engines fall silent,
crash, refuse and break off. VMs stop one after the other. It prints the seeds
in which a stop broke a rule of `stop_judge`, and what requests and prompt
tokens the stops cost.
"""

import asyncio
import collections
from collections.abc import Sequence
import contextlib
import dataclasses
import math
import random

from ruddergate import environment
from standins import engine_troubles
from standins import gateway_caller
from standins import gateway_cluster
from standins import iteration_engine
from standins import kept_connection
from standins import loaded_calls
from standins import schedule_runner
from standins import stop_costs
from standins import stop_judge
from standins import virtual_process

# Load balancers send new connections for this long after the signal.
_NOTICED_S = 2.6
_EXIT_S = 7.6
_WARM_UP_S = 1.5
# The system still delivers what a process that has ended had sent.
_DELIVERY_S = 0.1
_CONNECT_S = 1.0
# A caller waits for so much longer than its deadline.
_CALLER_SLACK_S = 2.0
# The latency targets of the routes become 150 ms to 4 s.
_LATENCY_SLO_SCALES = (0.5, 1.0, 1.333, 1.333)
# Not judged: these may run twice, so a refusal may follow a run.
_IDEMPOTENT_ROUTES = frozenset(("short", "long", "safe"))


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """A planned stop of a VM.

    Attributes:
        signal_s: When its first signal came.
        took_s: Time to the end of the process; at least the grace if it was
            killed.
    """

    signal_s: float
    took_s: float


class Schedule:
    """The state of one schedule.

    Args:
        seed: Seed of the schedule.
        killed_s: When processes that stop are killed, from their signal.
    """

    def __init__(self, seed: int, killed_s: float = stop_judge.GRACE_S) -> None:
        self._killed_s = killed_s
        self._rng = rng = random.Random(f"loaded stop {seed}")
        vms = rng.choice((2, 2, 2, 3, 3, 4, 4, 12))
        engine_spec = iteration_engine.EngineSpec(
            slots=rng.choice((1, 2, 4, 8)),
            memory_tokens=rng.choice((150_000, 320_000, 450_000)),
            prefill_tokens_per_ms=rng.choice((64.0, 128.0, 256.0)),
        )
        self._cluster = gateway_cluster.GatewayCluster(
            gateway_cluster.Layout(
                vms=vms,
                halls=rng.choice((1, 2)),
                engines=rng.choice((1, 2, 3, 4, 6)),
                services=2,
                seed=seed,
                engine_spec=engine_spec,
                latency_slo_scale=rng.choice(_LATENCY_SLO_SCALES),
            )
        )
        self._calls = loaded_calls.CallDraws(
            rng, engine_spec.memory_tokens, rng.choice((0.2, 0.5, 0.9))
        )
        self._exchanges: list[stop_judge.Exchange] = []
        self._stops: dict[str, Stop] = {}
        # When the first signal of each VM comes.
        self._signals_s: dict[str, float] = {}
        self._end_s = 0.0
        self._counts: collections.Counter[str] = collections.Counter()

    async def run(self) -> schedule_runner.Result:
        """Runs the schedule."""
        await self._cluster.start()
        self._draw_signals()
        process = virtual_process.VirtualProcess("callers", "")
        env = self._cluster.network.make_environment(process, 1)
        stopping = [
            asyncio.ensure_future(self._stop(vm)) for vm in self._signals_s
        ]
        troubles = [
            asyncio.ensure_future(self._make_trouble())
            for _ in range(self._rng.choice((0, 1, 1, 2, 3)))
        ]
        changing = asyncio.ensure_future(self._change_settings())
        await process.start(lambda: self._run_callers(env))
        await asyncio.gather(*stopping, *troubles, changing)
        return self._judge()

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    def _draw_signals(self) -> None:
        rng = self._rng
        vms = sorted(self._cluster.vms)
        stopping = rng.sample(vms, rng.randrange(1, min(len(vms), 4) + 1))
        signal_s = self._now_s() + _WARM_UP_S + rng.uniform(0.0, 2.0)
        gap_s = rng.choice((0.3, 2.0, 9.0))
        for vm in stopping:
            self._signals_s[vm] = signal_s
            self._end_s = signal_s + _NOTICED_S + 0.5
            signal_s += rng.uniform(0.5, 1.0) * gap_s

    async def _sleep_until(self, at_s: float) -> None:
        await asyncio.sleep(max(0.0, at_s - self._now_s()))

    # The stops, and what goes on beside them

    async def _stop(self, vm: str) -> None:
        rng = self._rng
        signal_s = self._signals_s[vm]
        await self._sleep_until(signal_s)
        node = self._cluster.vms[vm]
        node.stop.set()
        loop = asyncio.get_running_loop()
        for _ in range(rng.choice((0, 0, 1, 3))):
            loop.call_later(rng.uniform(0.0, _EXIT_S), node.stop.set)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._killed_s):
                await asyncio.shield(node.task)
        self._stops[vm] = Stop(signal_s, self._now_s() - signal_s)
        if node.task.done():
            await asyncio.sleep(_DELIVERY_S)
        self._cluster.kill(node)
        if rng.random() < 0.5:
            self._cluster.start_vm(node)

    async def _change_settings(self) -> None:
        for _ in range(self._rng.choice((0, 0, 1, 3))):
            await self._sleep_until(self._draw_moment())
            self._cluster.publish()

    def _draw_moment(self) -> float:
        """Returns a time around a stop."""
        signal_s = self._rng.choice(list(self._signals_s.values()))
        return signal_s + self._rng.uniform(-1.5, _EXIT_S)

    async def _make_trouble(self) -> None:
        await self._sleep_until(self._draw_moment())
        kind = self._rng.choice(engine_troubles.KINDS)
        self._counts[f"trouble: {kind}"] += 1
        await engine_troubles.make_trouble(self._cluster, self._rng, kind)

    # Callers

    async def _run_callers(self, env: environment.Environment) -> None:
        rng = self._rng
        layout = self._cluster.layout
        places = layout.engines * layout.engine_spec.slots
        count = min(40, round(places * rng.choice((1.0, 2.0, 4.0))) + 2)
        callers = [self._run_caller(env) for _ in range(count)]
        for vm, signal_s in self._signals_s.items():
            herd = rng.choice((0, 4, 16, 30))
            is_long = rng.random() < 0.7
            from_s = signal_s + rng.uniform(-1.5, 1.0)
            length_s = rng.choice((0.0, 0.2, _NOTICED_S))
            for _ in range(herd):
                at_s = from_s + rng.uniform(0.0, length_s)
                callers.append(self._send_at(env, vm, at_s, is_long))
        await asyncio.gather(*callers)

    async def _run_caller(self, env: environment.Environment) -> None:
        """Sends requests on kept connections, to one VM after the other."""
        rng = self._rng
        vms = sorted(self._cluster.vms)
        # Most go to VMs that stop.
        stopping = list(self._signals_s)
        await asyncio.sleep(rng.uniform(0.0, _WARM_UP_S))
        while self._now_s() < self._end_s:
            vm = rng.choice(stopping if rng.random() < 0.7 else vms)
            await self._use_connection(env, vm, math.inf)
            await asyncio.sleep(rng.choice((0.05, 0.5)))

    async def _send_at(
        self,
        env: environment.Environment,
        vm: str,
        at_s: float,
        is_long: bool,
    ) -> None:
        await self._sleep_until(at_s)
        await self._use_connection(env, vm, 1, is_long)

    async def _use_connection(
        self,
        env: environment.Environment,
        vm: str,
        requests_max: float,
        is_long: bool = False,
    ) -> None:
        """Sends requests on a new connection; long ones only, or any."""
        address = environment.Address(vm, gateway_cluster.FRONT_PORT)
        try:
            async with asyncio.timeout(_CONNECT_S):
                streams = await env.connect(address)
        except (OSError, TimeoutError):
            return
        connection = kept_connection.KeptConnection(*streams)
        sent = 0
        while sent < requests_max and self._now_s() < self._end_s:
            sent += 1
            call = self._calls.draw(vm, is_long)
            if not await self._exchange(connection, address, call, sent == 1):
                break
            if self._rng.random() < 0.5:
                await asyncio.sleep(self._rng.choice((0.0, 0.02, 0.5)))
        connection.close()

    async def _exchange(
        self,
        connection: kept_connection.KeptConnection,
        address: environment.Address,
        call: gateway_caller.Call,
        is_first: bool,
    ) -> bool:
        """Sends one request; returns whether another may follow."""
        began_s = self._now_s()
        parts = self._draw_parts(connection, call, address)
        pauses_s = self._draw_pauses(call.vm, len(parts) - 1)
        for part, pause_s in zip(parts, (*pauses_s, 0.0), strict=True):
            connection.write_part(part)
            await asyncio.sleep(pause_s)
        sent_s = self._now_s()
        answer = kept_connection.Answer(0, False, True)
        wait_s = call.time_limit_ms / 1_000.0 + _CALLER_SLACK_S
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                answer = await connection.read_answer()
        self._exchanges.append(
            stop_judge.Exchange(
                call, is_first, began_s, sent_s, self._now_s(), answer
            )
        )
        return not answer.closes

    def _draw_parts(
        self,
        connection: kept_connection.KeptConnection,
        call: gateway_caller.Call,
        address: environment.Address,
    ) -> Sequence[bytes]:
        """Returns a request in one part, in halves or in chunks."""
        rng = self._rng
        request = gateway_caller.make_request(call)
        draw = rng.random()
        if draw < 0.2:
            chunks = rng.choice((1, 2, 5))
            return connection.encode_in_chunks(request, address, chunks)
        data = connection.encode(request, address)
        if draw < 0.35:
            cut = rng.randrange(1, len(data))
            return data[:cut], data[cut:]
        return (data,)

    def _draw_pauses(self, vm: str, count: int) -> Sequence[float]:
        """Returns the times between the parts of a request."""
        rng = self._rng
        if not count:
            return ()
        whole_s = rng.choice((0.0, 0.1, 1.0, 4.0)) * rng.uniform(0.3, 1.0)
        signal_s = self._signals_s.get(vm)
        if signal_s is not None and rng.random() < 0.3:
            # The last part is sent at a border of the stop's phases.
            border_s = signal_s + rng.choice((0.0, _NOTICED_S, _EXIT_S))
            until_s = border_s + rng.uniform(-0.1, 0.1) - self._now_s()
            if 0.0 < until_s < 5.0:
                whole_s = until_s
        return [whole_s / count] * count

    # Results

    def _judge(self) -> schedule_runner.Result:
        works = stop_judge.list_works(self._cluster)
        timeouts_ms = stop_judge.find_timeouts_ms(self._cluster)
        broken = [
            f"the stop of {vm} took {stop.took_s:.2f} s"
            for vm, stop in self._stops.items()
            if stop.took_s >= stop_judge.GRACE_S
        ]
        for each in self._exchanges:
            own = works.get(each.call.request_id, ())
            signal_s = self._signals_s.get(each.call.vm, math.inf)
            loss = stop_judge.find_loss(
                each, signal_s, own, timeouts_ms[each.call.route]
            )
            if loss.is_violation():
                broken.append(
                    stop_judge.describe_cut(each, signal_s, own, loss)
                )
            self._counts.update(
                stop_costs.count_exchange(each, signal_s, own, loss)
            )
        strict = set(timeouts_ms) - _IDEMPOTENT_ROUTES
        broken += stop_judge.find_refused_runs(self._exchanges, works, strict)
        broken += stop_judge.find_mixed(self._exchanges)
        repeated = stop_judge.find_refused_runs(
            self._exchanges, works, _IDEMPOTENT_ROUTES
        )
        self._counts["refused after a run, may be repeated"] = len(repeated)
        self._counts["stops"] = len(self._stops)
        refusals_ms = stop_costs.list_refusals_ms(
            self._exchanges, self._signals_s
        )
        return schedule_runner.Result(
            broken,
            self._counts,
            samples_ms={"from the signal to 503": refusals_ms},
        )


def run_schedule(
    seed: int, killed_s: float = stop_judge.GRACE_S
) -> schedule_runner.Result:
    """Runs one schedule.

    Args:
        seed: Seed of the schedule.
        killed_s: When processes that stop are killed, from their signal.
    """
    return virtual_process.run(lambda: Schedule(seed, killed_s).run())


if __name__ == "__main__":
    schedule_runner.run_command(run_schedule)
