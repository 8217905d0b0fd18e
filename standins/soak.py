"""A randomized soak: real gateways as processes, faults from outside them.

`python -m standins.soak --first 1 --count 50` plays many seeds and prints those
whose promises were broken. The store, the replicas and the callers run in this
process; everything between them goes through proxies on loopback. Only the
gateways that it started are stopped, paused and killed, by their ids.
"""

import asyncio
import collections
import dataclasses
import pathlib
import random
import shutil
import sys
import tempfile
import time

import cyclopts
import loguru

from ruddergate import environment
from standins import _private
from standins import gateway_caller
from standins import gateway_cluster
from standins import gateway_guarantees
from standins import gateway_schedules
from standins import iteration_engine
from standins import platform_replica
from standins import soak_caller
from standins import soak_fleet
from standins import soak_gateways
from standins import soak_proxy
from standins import soak_rate_limits
from standins import soak_store
from standins import soak_withdrawals

_ROOT = pathlib.Path(__file__).parent.parent
_LOGS = _ROOT / "soak-logs"
_START_S = 2.0
_PLAY_S = 6.0
# Leavings bind after some seconds without trouble, and keys after five.
_FLEET_PLAY_S = 12.0
# Gateways that are seeds of the others; one more seed is dead.
_SEEDS = 2
_DEAD_SEED = "127.0.1.250"
# The last calls end, and what was set aside lapses by itself.
_SETTLE_S = 4.0
_LOOPBACK = "127.0.0.1"
_ROUTES = ("short", "short", "long", "once", "unsafe", "safe")


@dataclasses.dataclass(frozen=True, slots=True)
class Sizes:
    """How much runs in one seed."""

    gateways: int = 2
    engines: int = 4
    services: int = 3
    callers: int = 8
    # Whether replicas leave, and want quiet, and say so in their answers alone.
    withdraws: bool = False
    # Whether replicas name rate limits.
    limits: bool = False
    # Whether gateways know each other, and the store is restored from copies.
    fleet: bool = False
    # What gateways run without, see soak_ablations; empty for nothing.
    without: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Played:
    """What came of a seed.

    Attributes:
        broken: What went wrong, a sentence each.
        statuses: How often callers got each status.
        counts: What was brought about, and how often promises were tested.
    """

    broken: list[str]
    statuses: dict[int, int]
    counts: collections.Counter[str]


class Soak:
    """One seed."""

    def __init__(self, seed: int, sizes: Sizes, folder: pathlib.Path) -> None:
        self._chance = random.Random(seed)
        self._sizes = sizes
        # Callers' keys; one of them goes in a fleet.
        self._keys = [gateway_cluster.KEY] * 3
        if sizes.fleet:
            self._keys.append(soak_store.REMOVED_KEY)
        self._env = environment.make_system_environment()
        self._published = soak_store.SoakStore(self._chance)
        self._store = self._published.store
        # Each gateway's own way to the store, in a fleet.
        self._store_proxies: list[soak_proxy.Proxy] = []
        self._tasks: list[asyncio.Task] = []
        self.counts = self._published.counts
        self._proxies: list[soak_proxy.Proxy] = []
        self._replicas: list[platform_replica.PlatformReplica] = []
        self._gateways = soak_gateways.SoakGateways(
            self._chance, folder, sizes.without
        )
        self._fronts: list[int] = []
        self._got: list[tuple[int, gateway_caller.CallResult]] = []
        self._leavings: list[soak_withdrawals.Leaving] = []

    async def play(self) -> tuple[list[str], dict[int, int]]:
        """Returns broken promises and counts of statuses."""
        try:
            await self._play()
        finally:
            # Also when the soak itself fails: nothing of it may stay behind.
            await self._end()
        all_got = [got for _, got in self._got]
        broken = gateway_guarantees.find_broken_by(
            self._replicas, all_got, self._was_disturbed
        )
        broken += soak_withdrawals.find_broken(
            self._leavings, self._gateways.upsets, self._got
        )
        broken += soak_fleet.find_broken(
            self._published,
            self._leavings,
            self._gateways.upsets,
            self._got,
            self.counts,
        )
        broken += soak_rate_limits.find_broken(
            self._replicas, self._gateways.upsets, self._got
        )
        return broken, gateway_schedules.count_statuses(all_got)

    async def _play(self) -> None:
        await self._start()
        play_s = _FLEET_PLAY_S if self._sizes.fleet else _PLAY_S
        until_s = time.monotonic() + play_s
        calls = [
            asyncio.ensure_future(self._call_on(number, until_s))
            for number in range(self._sizes.callers)
        ]
        faults = [
            asyncio.ensure_future(self._disturb_on(until_s)) for _ in range(2)
        ]
        if self._sizes.fleet:
            faults.append(asyncio.ensure_future(self._remove_key_early()))
        await asyncio.gather(*calls, *faults)
        for proxy in self._proxies:
            proxy.mode = soak_proxy.Mode.PASS
        await asyncio.sleep(_SETTLE_S)

    def _was_disturbed(self, got: gateway_caller.CallResult) -> bool:
        # Everything goes through proxies, any of which may hold bytes back, so
        # lateness tells nothing here; schedules in virtual time check it.
        return True

    async def _start(self) -> None:
        store_port = await self._serve(self._store.make_handler())
        store = await self._add_proxy(store_port)
        self._published.publish()
        self._tasks.append(asyncio.ensure_future(self._published.run()))
        engines: dict[str, platform_replica.PlatformReplica] = {}
        for number in range(self._sizes.engines + self._sizes.services):
            is_engine = number < self._sizes.engines
            await self._add_replica(number, is_engine, engines)
        peer_port = _private.find_free_port()
        for number in range(self._sizes.gateways):
            host = f"127.0.1.{number + 1}" if self._sizes.fleet else _LOOPBACK
            ports = [_private.find_free_port() for _ in range(4)]
            self._fronts.append((await self._add_proxy(ports[0], host)).port)
            seeds = ""
            if self._sizes.fleet:
                store = await self._add_proxy(store_port)
                self._store_proxies.append(store)
                ports[3] = peer_port
                seeds = _name_seeds(peer_port)
            halls = 3 if self._sizes.fleet else 2
            await self._gateways.add(
                soak_gateways.Place(
                    host,
                    f"hall-{number % halls}",
                    tuple(ports),
                    store.port,
                    seeds,
                )
            )
        await self._gateways.await_listening()
        await asyncio.sleep(_START_S)

    async def _serve(self, handler: environment.StreamHandler) -> int:
        server = await asyncio.start_server(handler, "127.0.0.1")
        return server.sockets[0].getsockname()[1]

    async def _add_proxy(
        self, port: int, host: str = _LOOPBACK
    ) -> soak_proxy.Proxy:
        proxy = soak_proxy.Proxy(port, host)
        await proxy.start()
        self._proxies.append(proxy)
        return proxy

    async def _add_replica(
        self,
        number: int,
        is_engine: bool,
        engines: dict[str, platform_replica.PlatformReplica],
    ) -> None:
        figures = iteration_engine.EngineSpec() if is_engine else None
        replica = platform_replica.PlatformReplica(
            f"replica-{number}", self._env, figures, engines
        )
        self._replicas.append(replica)
        port = await self._serve(replica.make_handler())
        proxy = await self._add_proxy(port)
        engines[f"127.0.0.1:{proxy.port}"] = replica
        if replica.engine is not None:
            asyncio.ensure_future(replica.engine.run())
        self._published.add(replica, f"127.0.0.1:{proxy.port}")

    async def _call_on(self, caller: int, until_s: float) -> None:
        gateway = caller % len(self._fronts)
        kept = soak_caller.KeptCaller(self._fronts[gateway])
        number = 0
        while time.monotonic() < until_s:
            number += 1
            call = self._make_call(f"c{caller}.{number}")
            self._got.append((gateway, await kept.send(call)))
            await asyncio.sleep(self._chance.uniform(0.0, 0.15))
        kept.close()

    def _make_call(self, request_id: str) -> gateway_caller.Call:
        route = self._chance.choice(_ROUTES)
        prompt = {"short": 5_000, "once": 3_000}.get(route, 0)
        if route == "long":
            prompt = self._chance.choice((45_000, 120_000, 600_000))
        return gateway_caller.Call(
            request_id,
            route,
            "",
            prompt_tokens=prompt,
            output_tokens=self._chance.randrange(50, 600) if prompt else 0,
            key=self._chance.choice(self._keys),
            time_limit_ms=4_000.0,
            disconnects_after_ms=self._chance.choice((None,) * 6 + (300.0,)),
        )

    async def _disturb_on(self, until_s: float) -> None:
        """Plays faults in series; two of these overlap."""
        faults = (
            self._trouble_proxy,
            self._trouble_proxy,
            self._spoil_replica,
            self._gateways.pause,
            self._gateways.kill,
            self._gateways.stop,
            self._change_settings,
        )
        if self._sizes.withdraws:
            faults += (self._withdraw_replica,) * 3
        if self._sizes.limits:
            faults += (self._limit_replica,) * 3
        if self._sizes.fleet:
            faults += (self._remove_replica,) * 4
            faults += (self._published.play_restore,) * 2
            faults += (self._part_from_store,)
        while time.monotonic() < until_s:
            await asyncio.sleep(self._chance.uniform(0.1, 0.8))
            await self._chance.choice(faults)()

    async def _trouble_proxy(self) -> None:
        proxy = self._chance.choice(self._proxies)
        if self._chance.random() < 0.4:
            proxy.reset_all()
            return
        proxy.mode = self._chance.choice(list(soak_proxy.Mode))
        await asyncio.sleep(self._chance.uniform(0.2, 1.5))
        proxy.mode = soak_proxy.Mode.PASS

    async def _spoil_replica(self) -> None:
        wrong = self._chance.choice(self._replicas).faults
        name = self._chance.choice(
            ("refuse", "fail", "lose", "break_off", "unsigned", "foreign")
        )
        setattr(wrong, name, self._chance.uniform(0.3, 1.0))
        await asyncio.sleep(self._chance.uniform(0.3, 1.5))
        setattr(wrong, name, 0.0)

    async def _withdraw_replica(self) -> None:
        """Has a replica leave, or shed calls, while the store is away."""
        replica = self._chance.choice(self._replicas)
        if self._chance.random() < 0.4:
            replica.faults.retry_after = self._chance.choice(("0.5", "2", "x"))
            replica.faults.refuse = 1.0
            await asyncio.sleep(self._chance.uniform(0.3, 1.5))
            replica.faults.refuse = 0.0
            return
        if replica.draining_hint:
            return
        from_s = time.monotonic()
        replica.draining_hint = "1"
        await self._published.play_outage(self._chance.uniform(2.5, 4.0))
        self._replace(replica, from_s)

    async def _remove_replica(self) -> None:
        """Has a replica leave by the list, and another take its place."""
        replica = self._chance.choice(self._replicas)
        if self._published.states[replica.name] != soak_store.READY:
            return
        from_s = time.monotonic()
        self._published.begin_leaving(
            replica,
            self._chance.choice((soak_store.DRAINING, soak_store.REMOVED)),
        )
        await asyncio.sleep(self._chance.uniform(3.0, 5.0))
        self._replace(replica, from_s)

    async def _part_from_store(self) -> None:
        """Keeps one gateway from the store for a while."""
        number = self._chance.randrange(len(self._store_proxies))
        proxy = self._store_proxies[number]
        self.counts["gateways parted from the store"] += 1
        self._gateways.note_upset(number)
        proxy.mode = self._chance.choice(
            (soak_proxy.Mode.SILENCE, soak_proxy.Mode.CUT_BACK)
        )
        await asyncio.sleep(self._chance.uniform(0.5, 3.0))
        proxy.mode = soak_proxy.Mode.PASS
        proxy.reset_all()
        self._gateways.note_upset(number)

    async def _remove_key_early(self) -> None:
        """Removes a key, so early that its time ends while callers call."""
        await asyncio.sleep(self._chance.uniform(0.5, 4.0))
        self._published.publish(removes_key=True)

    async def _limit_replica(self) -> None:
        """Has a replica name a rate limit for longer than until it binds."""
        replica = self._chance.choice(self._replicas)
        if replica.rate_limit:
            return
        replica.announce_limit(self._chance.choice(("0", "0.5", "1", "3")))
        await asyncio.sleep(self._chance.uniform(4.0, 9.0))
        replica.announce_limit("")

    def _replace(
        self, replica: platform_replica.PlatformReplica, from_s: float
    ) -> None:
        """Lists another replica in the place of one that has left."""
        self._leavings.append(
            soak_withdrawals.Leaving(
                replica, replica.name, from_s, time.monotonic()
            )
        )
        self._published.take_off(replica)
        replica.name += "n"
        replica.draining_hint = ""
        self._published.list_anew(replica)

    async def _change_settings(self) -> None:
        self._published.publish()
        if self._chance.random() < 0.5:
            self._store.compact_history()
        if self._chance.random() < 0.7:
            await self._published.play_outage(self._chance.uniform(0.1, 1.0))

    async def _end(self) -> None:
        for task in self._tasks:
            task.cancel()
        await self._gateways.end_all()
        for proxy in self._proxies:
            await proxy.stop()


def _name_seeds(port: int) -> str:
    hosts = [f"127.0.1.{number + 1}" for number in range(_SEEDS)]
    return ",".join(f"{host}:{port}" for host in (*hosts, _DEAD_SEED))


def play(
    seed: int, sizes: Sizes = Sizes(), keep: pathlib.Path | None = None
) -> Played:
    """Plays one seed; logs are kept in a folder if one is given."""
    with tempfile.TemporaryDirectory() as folder:
        path = keep if keep is not None else pathlib.Path(folder)
        path.mkdir(parents=True, exist_ok=True)
        soak = Soak(seed, sizes, path)
        broken, statuses = asyncio.run(soak.play())
        broken += _find_tracebacks(path)
    return Played(broken, statuses, soak.counts)


def _find_tracebacks(folder: pathlib.Path) -> list[str]:
    return [
        f"{path.name} holds a traceback"
        for path in sorted(folder.glob("*.log"))
        if "Traceback" in path.read_text(errors="replace")
    ]


def _make_again(seed: int, sizes: Sizes) -> str:
    """Returns the command that plays a seed once more."""
    words = [
        "python -m standins.soak",
        f"--first {seed} --count 1",
        f"--gateways {sizes.gateways} --engines {sizes.engines}",
        f"--callers {sizes.callers}",
        *(["--withdraws"] if sizes.withdraws else []),
        *(["--limits"] if sizes.limits else []),
        *(["--fleet"] if sizes.fleet else []),
        *([f"--without {sizes.without}"] if sizes.without else []),
    ]
    return " ".join(words)


def main(
    *,
    first: int = 1,
    count: int = 5,
    gateways: int = 2,
    engines: int = 4,
    callers: int = 8,
    withdraws: bool = False,
    limits: bool = False,
    fleet: bool = False,
    without: str = "",
    logs: pathlib.Path = _LOGS,
) -> int:
    """Plays many seeds; logs of those that fail are kept.

    Args:
        first: First seed.
        count: Number of seeds.
        gateways: Gateway processes in each.
        engines: Engines in each.
        callers: Callers in each.
        withdraws: Whether replicas leave and say so in their answers alone.
        limits: Whether replicas name rate limits.
        fleet: Whether gateways know each other, and the store is restored.
        without: What gateways run without, see soak_ablations.
        logs: Folder for the logs of seeds that fail, a folder each.
    """
    loguru.logger.remove()
    sizes = Sizes(
        gateways,
        engines,
        callers=callers,
        withdraws=withdraws,
        limits=limits,
        fleet=fleet,
        without=without,
    )
    failed = 0
    total: collections.Counter[int] = collections.Counter()
    counts: collections.Counter[str] = collections.Counter()
    for seed in range(first, first + count):
        folder = logs / f"seed-{seed}"
        played = play(seed, sizes, folder)
        failed += bool(played.broken)
        total.update(played.statuses)
        counts.update(played.counts)
        if not played.broken:
            shutil.rmtree(folder)
            continue
        lines = [f"seed {seed}: {each}" for each in played.broken]
        lines.append(f"again: {_make_again(seed, sizes)}; logs: {folder}")
        (folder / "broken.txt").write_text("\n".join(lines) + "\n")
        print("\n".join(lines), flush=True)
    for name, number in sorted(counts.items()):
        print(f"{name}: {number}{'' if number else ' (not shown)'}")
    print(f"{count} seeds, statuses: {dict(sorted(total.items()))}")
    print(f"{count - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(cyclopts.run(main))
