"""Random schedules of targets that send without end, beside sound traffic.

`python -m standins.flood_schedules --first 1 --count 100` runs many. One to
three targets answer with interim responses, lines, events or bodies that have
no end, in pieces of any size, fast or slowly. It prints the seeds in which a
sound request was not served, a flooded one counted as a success, or the floods
took too much memory or kept the event loop busy for too long.
"""

import asyncio
import collections
import gc
import random
import resource
import time

from ruddergate import environment
from ruddergate.entry import overload
from standins import flooding_target
from standins import gateway_caller
from standins import gateway_cluster
from standins import schedule_runner
from standins import virtual_process

# Memory by which the process may grow: bodies of a VM share 32 MB, and each is
# copied at most twice.
MAX_MEMORY_MB = 100.0
# Processor time of one turn of the event loop, of all processes together. From
# this lag on a gateway closes new connections unread.
MAX_TURN_MS = overload.MAX_LAG_MS
_VMS = 2
_SETTLE_S = 2.0
_REQUESTS = 60
_INTERVAL_S = 0.1
_FLOODED_REQUESTS = 12
_KB_PER_MB = 1024.0
_HEAD = (
    b"HTTP/1.1 200 OK\r\nx-replica-signature: s\r\n"
    b"content-type: text/event-stream\r\n"
)
_CHUNKED = _HEAD + b"transfer-encoding: chunked\r\n\r\n"
_UNFRAMED = _HEAD + b"\r\n"
_INTERIM = b"HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n"
_FIELD = b"x-a: b\r\n"
_PIECE_BYTES = (16, 1_000, 65_536, 262_144)
_FLOOD_INTERVALS_S = (0.001, 0.004, 0.02, 0.3)
_SOUND_ROUTES = ("unsafe", "short", "safe", "open")
_FLOODED_ROUTES = ("short", "unsafe", "safe")


def draw_flood(rng: random.Random) -> tuple[str, flooding_target.Flood]:
    """Returns the name of a form of flood, and a flood of that form."""
    text = b"x" * rng.choice(_PIECE_BYTES)
    size = len(text)
    forms = {
        "interim responses": (b"", _make_units(_INTERIM, size)),
        "line": (b"HTTP/1.1 200 OK\r\nx-a: ", text),
        "header fields": (b"HTTP/1.1 200 OK\r\n", _make_units(_FIELD, size)),
        "no HTTP": (b"", text),
        "unframed": (_UNFRAMED, text),
        "length": (_HEAD + b"content-length: 9999999999\r\n\r\n", text),
        "chunks": (_CHUNKED, flooding_target.make_chunk(text)),
        "tiny chunks": (
            _CHUNKED,
            _make_units(flooding_target.make_chunk(b"x"), size),
        ),
        "chunk extension": (_CHUNKED + b"5;", text),
        "trailers": (_CHUNKED + b"0\r\n", _make_units(_FIELD, size)),
        "refusal": (b"HTTP/1.1 503 Full\r\nx-not-executed: 1\r\n\r\n", text),
    }
    name = rng.choice(sorted(forms))
    head, piece = forms[name]
    interval_s = rng.choice(_FLOOD_INTERVALS_S)
    return name, flooding_target.Flood(head, piece, interval_s)


def _make_units(unit: bytes, size: int) -> bytes:
    return flooding_target.make_piece(unit, size)


class Schedule:
    """One schedule.

    Args:
        seed: Seed of everything that is drawn.
    """

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._cluster = gateway_cluster.GatewayCluster(
            gateway_cluster.Layout(
                vms=_VMS, halls=1, engines=3, services=2, seed=seed
            )
        )
        self._caller = gateway_caller.Caller(self._cluster)
        self._counts: collections.Counter[str] = collections.Counter()
        self._max_turn_ms = 0.0

    async def run(self) -> tuple[schedule_runner.Result, float]:
        """Runs it.

        Returns:
            The result, and the most processor time of a turn of the event loop,
            in milliseconds.
        """
        await self._cluster.start()
        await self._list_flooding_targets()
        self._measure_turns()
        sound, flooded = await asyncio.gather(
            self._send(_SOUND_ROUTES, "", _REQUESTS),
            self._send(_FLOODED_ROUTES, "flooded-", _FLOODED_REQUESTS),
        )
        broken = self._find_broken(sound, flooded)
        return schedule_runner.Result(broken, self._counts), self._max_turn_ms

    async def _list_flooding_targets(self) -> None:
        cluster = self._cluster
        document = gateway_cluster.make_configuration(cluster.keys, 1)
        routes = [
            {
                **route,
                "name": f"flooded-{route['name']}",
                "path-prefix": f"/flooded-{route['name']}/",
                "service": "flooded",
            }
            for route in document["routes"]
            if route["name"] in _FLOODED_ROUTES
        ]
        cluster.publish(
            routes=[*document["routes"], *routes],
            services=[*document["services"], {"name": "flooded"}],
        )
        for number in range(self._rng.randint(1, 3)):
            name, flood = draw_flood(self._rng)
            self._counts[name] += 1
            await self._start_target(f"flooded-{number}", flood)
        await asyncio.sleep(_SETTLE_S)

    async def _start_target(
        self, name: str, flood: flooding_target.Flood
    ) -> None:
        cluster = self._cluster
        process = virtual_process.VirtualProcess(name, "hall-0")
        env = cluster.network.make_environment(process, 1)
        address = environment.Address(name, 80)
        await process.start(
            lambda: flooding_target.start_flood(env, address, flood)
        )
        cluster.store.put(
            f"servers/{name}",
            {
                "service": "flooded",
                "address": str(address),
                "zone": "hall-0",
                "slots": 8,
                "state": "ready",
            },
        )

    async def _send(
        self, routes: tuple[str, ...], prefix: str, count: int
    ) -> list[gateway_caller.CallResult]:
        calls = []
        for number in range(count):
            route = self._rng.choice(routes)
            sizes = (500, 60) if route == "short" else (0, 0)
            call = gateway_caller.Call(
                f"{prefix}r{number}",
                f"{prefix}{route}",
                f"vm-{self._rng.randrange(_VMS)}",
                *sizes,
            )
            calls.append(asyncio.ensure_future(self._caller.send(call)))
            await asyncio.sleep(_INTERVAL_S * _REQUESTS / count)
        return await asyncio.gather(*calls)

    def _measure_turns(self) -> None:
        """Measures the processor time of each turn of the event loop.

        A task can't: virtual time stands still while others are ready.
        """
        loop = asyncio.get_running_loop()
        run_once = loop._run_once

        def run_and_measure() -> None:
            before_s = time.process_time()
            run_once()
            turn_ms = (time.process_time() - before_s) * 1000.0
            self._max_turn_ms = max(self._max_turn_ms, turn_ms)

        loop._run_once = run_and_measure

    def _find_broken(
        self,
        sound: list[gateway_caller.CallResult],
        flooded: list[gateway_caller.CallResult],
    ) -> list[str]:
        broken = [
            f"{each.call.request_id} ({each.call.route}) got {each.status}"
            for each in sound
            if not (each.status == 200 and each.is_complete)
        ]
        broken += [
            f"{each.call.request_id} ({each.call.route}) counts as a success"
            for each in flooded
            if each.status == 200 and each.is_complete
        ]
        self._counts["sound requests"] += len(sound)
        self._counts["flooded requests"] += len(flooded)
        for each in flooded:
            self._counts[f"flooded requests with status {each.status}"] += 1
        return broken


def run_schedule(seed: int) -> schedule_runner.Result:
    """Runs one schedule.

    A schedule repeats exactly, so a flood that keeps the event loop busy does
    so in each run. A turn counts as too long if it is so in two runs: on a
    virtual machine the processor time of one run includes what others take.
    """
    result, turn_ms = _run_once(seed)
    if turn_ms > MAX_TURN_MS:
        turn_ms = min(turn_ms, _run_once(seed)[1])
    if turn_ms > MAX_TURN_MS:
        result.broken.append(f"a turn took {turn_ms:.0f} ms")
    return result


def _run_once(seed: int) -> tuple[schedule_runner.Result, float]:
    async def run() -> tuple[schedule_runner.Result, float]:
        return await Schedule(seed).run()

    # To collect what exists already is no work for a flood.
    gc.collect()
    gc.freeze()
    before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    result, turn_ms = virtual_process.run(run)
    gc.unfreeze()
    after_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    grown_mb = (after_kb - before_kb) / _KB_PER_MB
    if grown_mb > MAX_MEMORY_MB:
        result.broken.append(f"the memory grew by {grown_mb:.0f} MB")
    return result, turn_ms


if __name__ == "__main__":
    schedule_runner.run_command(run_schedule)
