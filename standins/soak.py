"""Randomized soak test of real gateway processes with injected faults.

`python -m standins.soak --first 1 --count 50` runs many seeds and prints the
guarantees that were violated. The store, the replicas and the callers run in
this process; all traffic between them goes through proxies on loopback. Only
gateways that the soak started are stopped, paused or killed, by process id.
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
from standins import soak_draining
from standins import soak_fleet
from standins import soak_gateways
from standins import soak_links
from standins import soak_losses
from standins import soak_proxy
from standins import soak_rate_limits
from standins import soak_store

_ROOT = pathlib.Path(__file__).parent.parent
_LOG_FOLDER = _ROOT / "soak-logs"
_STARTUP_S = 2.0
_RUN_S = 6.0
# Longer, because drains are enforced only after some seconds without faults,
# and removed keys after five seconds.
_FLEET_RUN_S = 12.0
# Long prompts that meet a gateway that stops; an engine has memory for few.
_WAITING_PER_ENGINE = 6
# Time over which they are sent, before the signal and after it.
_WAITING_S = 1.0
# A longer pause of the soak's own event loop is a disturbance of all calls.
_STALL_S = 0.1
# Gateways that the others use as seeds; one further seed is unreachable.
_SEED_GATEWAYS = 2
_UNREACHABLE_SEED = "127.0.1.250"
# Time for the last calls to end and for unused reservations to expire.
_SETTLE_S = 4.0
_LOOPBACK = "127.0.0.1"
_ROUTES = ("short", "short", "long", "once", "unsafe", "safe")


@dataclasses.dataclass(frozen=True, slots=True)
class SoakOptions:
    """Sizes and optional scenarios of one seed."""

    gateways: int = 2
    engines: int = 4
    services: int = 3
    callers: int = 8
    # Whether replicas drain and ask for backoff in response headers only, while
    # the store does not list it.
    withdraws: bool = False
    # Whether replicas announce rate limits.
    limits: bool = False
    # Whether gateways are peers of each other and the store is restored from
    # older copies.
    fleet: bool = False
    # Whether gateways lose their links to targets; needs `fleet`.
    links: bool = False
    # Whether a gateway is told to stop while calls wait at it, after a time
    # without faults.
    stops: bool = False
    # Mechanism that the gateways run without, see soak_ablations; empty for
    # none.
    without: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class SoakResult:
    """The result of a seed.

    Attributes:
        violations: Violated guarantees, one sentence each.
        statuses: Number of responses to callers by HTTP status.
        counts: Number of injected events, and of calls to which the guarantees
            of soak_fleet can apply, by name.
    """

    violations: list[str]
    statuses: dict[int, int]
    counts: collections.Counter[str]


class SoakRun:
    """The run of one seed."""

    def __init__(
        self, seed: int, options: SoakOptions, folder: pathlib.Path
    ) -> None:
        self._rng = random.Random(seed)
        self._options = options
        # Callers' keys; with `fleet`, one of them is removed during the run.
        self._keys = [gateway_cluster.KEY] * 3
        if options.fleet:
            self._keys.append(soak_store.REMOVED_KEY)
        self._env = environment.make_system_environment()
        self._soak_store = soak_store.SoakStore(self._rng)
        self._store = self._soak_store.store
        # With `fleet`, each gateway reaches the store through its own proxy.
        self._store_proxies: list[soak_proxy.Proxy] = []
        self._tasks: list[asyncio.Task] = []
        self.counts = self._soak_store.counts
        self._proxies: list[soak_proxy.Proxy] = []
        self._replicas: list[platform_replica.PlatformReplica] = []
        self._gateways = soak_gateways.SoakGateways(
            self._rng, folder, options.without
        )
        # The proxy before each gateway, and before each replica.
        self._caller_proxies: list[soak_proxy.Proxy] = []
        self._replica_proxies: list[
            tuple[platform_replica.PlatformReplica, soak_proxy.Proxy]
        ] = []
        self._responses: list[tuple[int, gateway_caller.CallResult]] = []
        self._drain_periods: list[soak_draining.DrainPeriod] = []
        self._folder = folder
        self._link_losses: list[soak_links.LinkLoss] = []
        # When this process, with all callers and proxies, did not run.
        self._stalls: list[tuple[float, float]] = []

    async def run(self) -> tuple[list[str], dict[int, int]]:
        """Returns violated guarantees and the number of each status."""
        try:
            await self._run_faults_and_callers()
        finally:
            # Also if the soak itself fails, so that no process is left over.
            await self._stop()
        all_responses = [response for _, response in self._responses]
        violations = gateway_guarantees.find_broken_by(
            self._replicas, all_responses, self._was_disturbed
        )
        violations += soak_draining.find_violations(
            self._drain_periods, self._gateways.interruptions, self._responses
        )
        violations += soak_fleet.find_violations(
            self._soak_store,
            self._replicas,
            self._drain_periods,
            self._gateways.interruptions,
            self._responses,
            self.counts,
        )
        violations += soak_losses.find_violations(
            self._gateways,
            self._caller_proxies,
            self._replica_proxies,
            self._link_losses,
            self._stalls,
            self._responses,
            self.counts,
        )
        violations += soak_rate_limits.find_violations(
            self._replicas, self._gateways.interruptions, self._responses
        )
        violations += soak_links.find_violations(
            self._link_losses,
            self._gateways.interruptions,
            self._replicas,
            self._responses,
            self.counts,
        )
        return violations, gateway_schedules.count_statuses(all_responses)

    async def _run_faults_and_callers(self) -> None:
        await self._start()
        duration_s = _FLEET_RUN_S if self._options.fleet else _RUN_S
        until_s = time.monotonic() + duration_s
        calls = [
            asyncio.ensure_future(self._run_caller(number, until_s))
            for number in range(self._options.callers)
        ]
        faults = [
            asyncio.ensure_future(self._inject_faults(until_s))
            for _ in range(2)
        ]
        if self._options.fleet:
            faults.append(asyncio.ensure_future(self._remove_key_early()))
        if self._options.links:
            faults.append(asyncio.ensure_future(self._cut_links(until_s)))
        await asyncio.gather(*calls, *faults)
        for proxy in self._proxies:
            proxy.mode = soak_proxy.Mode.FORWARD
        if self._options.stops:
            await self._stop_under_load()
        await asyncio.sleep(_SETTLE_S)

    def _was_disturbed(self, response: gateway_caller.CallResult) -> bool:
        # Any proxy may hold bytes back, so deadlines can't be checked here; the
        # schedules in virtual time check them.
        return True

    async def _start(self) -> None:
        store_port = await self._serve(self._store.make_handler())
        store = await self._add_proxy(store_port)
        self._soak_store.publish_settings()
        self._tasks.append(asyncio.ensure_future(self._soak_store.run()))
        self._tasks.append(asyncio.ensure_future(self._record_stalls()))
        engines: dict[str, platform_replica.PlatformReplica] = {}
        for number in range(self._options.engines + self._options.services):
            is_engine = number < self._options.engines
            await self._add_replica(number, is_engine, engines)
        peer_port = _private.find_free_port()
        for number in range(self._options.gateways):
            host = f"127.0.1.{number + 1}" if self._options.fleet else _LOOPBACK
            ports = [_private.find_free_port() for _ in range(4)]
            self._caller_proxies.append(await self._add_proxy(ports[0], host))
            seeds = ""
            if self._options.fleet:
                store = await self._add_proxy(store_port)
                self._store_proxies.append(store)
                ports[3] = peer_port
                seeds = _format_seeds(peer_port)
            halls = 3 if self._options.fleet else 2
            await self._gateways.add(
                soak_gateways.LaunchConfig(
                    host,
                    f"hall-{number % halls}",
                    tuple(ports),
                    store.port,
                    seeds,
                    self._find_cut_file(number)
                    if self._options.links
                    else None,
                )
            )
        await self._gateways.wait_until_listening()
        await asyncio.sleep(_STARTUP_S)

    def _find_cut_file(self, number: int) -> pathlib.Path:
        """Returns the file during whose existence a gateway has no links."""
        return (self._folder / f"cut-{number}").resolve()

    async def _cut_links(self, until_s: float) -> None:
        """Cuts some gateways, but not all, from all targets, repeatedly."""
        while time.monotonic() < until_s - 2.0:
            await asyncio.sleep(self._rng.uniform(0.1, 1.0))
            count = self._rng.randrange(1, self._options.gateways)
            chosen = self._rng.sample(range(self._options.gateways), count)
            mode = self._rng.choice(soak_links.MODES)
            self.counts[f"cuts of links, {mode}"] += 1
            from_s = time.monotonic()
            for number in chosen:
                self._find_cut_file(number).write_text(mode)
            await asyncio.sleep(self._rng.uniform(2.0, 5.0))
            for number in chosen:
                self._find_cut_file(number).unlink()
            self._link_losses.append(
                soak_links.LinkLoss(frozenset(chosen), from_s, time.monotonic())
            )

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
        self._replica_proxies.append((replica, proxy))
        engines[f"127.0.0.1:{proxy.port}"] = replica
        if replica.engine is not None:
            asyncio.ensure_future(replica.engine.run())
        self._soak_store.add_replica(replica, f"127.0.0.1:{proxy.port}")

    async def _stop_under_load(self) -> None:
        """Stops a gateway that nothing disturbed, while calls wait at it."""
        await asyncio.sleep(gateway_guarantees.CONTACT_S + _STARTUP_S)
        number = self._rng.randrange(self._options.gateways)
        calls = [
            asyncio.ensure_future(self._send_waiting(number, call))
            for call in range(_WAITING_PER_ENGINE * self._options.engines)
        ]
        await asyncio.sleep(self._rng.uniform(0.2, _WAITING_S))
        await self._gateways.stop(number)
        await asyncio.gather(*calls)

    async def _send_waiting(self, gateway: int, number: int) -> None:
        """Sends a long prompt that has time to wait for a place."""
        call = gateway_caller.Call(
            f"w{number}",
            "long",
            "",
            prompt_tokens=self._rng.choice((120_000, 200_000)),
            output_tokens=self._rng.randrange(200, 1_000),
            time_limit_ms=14_000.0,
        )
        await asyncio.sleep(self._rng.uniform(0.0, 2.0 * _WAITING_S))
        client = soak_caller.KeepAliveCaller(self._caller_proxies[gateway].port)
        self._responses.append((gateway, await client.send(call)))
        client.close()

    async def _record_stalls(self) -> None:
        """Records when a busy machine keeps this process from running."""
        while True:
            from_s = time.monotonic()
            await asyncio.sleep(_STALL_S)
            if time.monotonic() - from_s > 2.0 * _STALL_S:
                self._stalls.append((from_s, time.monotonic()))
                self.counts["stalls of the soak itself"] += 1

    async def _run_caller(self, caller: int, until_s: float) -> None:
        gateway = caller % len(self._caller_proxies)
        client = soak_caller.KeepAliveCaller(self._caller_proxies[gateway].port)
        number = 0
        while time.monotonic() < until_s:
            number += 1
            call = self._make_call(f"c{caller}.{number}")
            self._responses.append((gateway, await client.send(call)))
            await asyncio.sleep(self._rng.uniform(0.0, 0.15))
        client.close()

    def _make_call(self, request_id: str) -> gateway_caller.Call:
        route = self._rng.choice(_ROUTES)
        prompt = {"short": 5_000, "once": 3_000}.get(route, 0)
        if route == "long":
            prompt = self._rng.choice((45_000, 120_000, 600_000))
        return gateway_caller.Call(
            request_id,
            route,
            "",
            prompt_tokens=prompt,
            output_tokens=self._rng.randrange(50, 600) if prompt else 0,
            key=self._rng.choice(self._keys),
            time_limit_ms=4_000.0,
            disconnects_after_ms=self._rng.choice((None,) * 6 + (300.0,)),
        )

    async def _inject_faults(self, until_s: float) -> None:
        """Injects one fault after another; two such tasks run at once."""
        faults = (
            self._disrupt_proxy,
            self._disrupt_proxy,
            self._inject_replica_errors,
            self._gateways.pause,
            self._gateways.kill,
            self._gateways.stop_any,
            self._change_settings,
        )
        if self._options.withdraws:
            faults += (self._drain_by_hint,) * 3
        if self._options.limits:
            faults += (self._limit_replica_rate,) * 3
        if self._options.fleet:
            faults += (self._drain_by_store,) * 4
            faults += (self._soak_store.inject_restore,) * 2
            faults += (self._partition_from_store,)
        while time.monotonic() < until_s:
            await asyncio.sleep(self._rng.uniform(0.1, 0.8))
            await self._rng.choice(faults)()

    async def _disrupt_proxy(self) -> None:
        proxy = self._rng.choice(self._proxies)
        if self._rng.random() < 0.4:
            proxy.reset_connections()
            return
        mode = self._rng.choice(list(soak_proxy.Mode))
        await proxy.disrupt(mode, self._rng.uniform(0.2, 1.5))

    async def _inject_replica_errors(self) -> None:
        replica_faults = self._rng.choice(self._replicas).faults
        name = self._rng.choice(
            ("refuse", "fail", "lose", "break_off", "unsigned", "foreign")
        )
        setattr(replica_faults, name, self._rng.uniform(0.3, 1.0))
        await asyncio.sleep(self._rng.uniform(0.3, 1.5))
        setattr(replica_faults, name, 0.0)

    async def _drain_by_hint(self) -> None:
        """Drains a replica, or makes it shed load, by response headers only.

        A drain happens during an outage of the store.
        """
        replica = self._rng.choice(self._replicas)
        if self._rng.random() < 0.4:
            replica.faults.retry_after = self._rng.choice(("0.5", "2", "x"))
            replica.faults.refuse = 1.0
            await asyncio.sleep(self._rng.uniform(0.3, 1.5))
            replica.faults.refuse = 0.0
            return
        if replica.draining_hint:
            return
        from_s = time.monotonic()
        replica.draining_hint = "1"
        await self._soak_store.inject_outage(self._rng.uniform(2.5, 4.0))
        self._replace_replica(replica, from_s)

    async def _drain_by_store(self) -> None:
        """Drains or removes a replica in the store, then replaces it."""
        replica = self._rng.choice(self._replicas)
        if self._soak_store.states[replica.name] != soak_store.READY:
            return
        from_s = time.monotonic()
        self._soak_store.start_drain(
            replica,
            self._rng.choice((soak_store.DRAINING, soak_store.REMOVED)),
        )
        await asyncio.sleep(self._rng.uniform(3.0, 5.0))
        self._replace_replica(replica, from_s)

    async def _partition_from_store(self) -> None:
        """Partitions one gateway from the store for 0.5 s to 3 s."""
        number = self._rng.randrange(len(self._store_proxies))
        proxy = self._store_proxies[number]
        self.counts["gateways partitioned from the store"] += 1
        self._gateways.record_interruption(number)
        proxy.mode = self._rng.choice(
            (soak_proxy.Mode.STALL, soak_proxy.Mode.STALL_RESPONSES)
        )
        await asyncio.sleep(self._rng.uniform(0.5, 3.0))
        proxy.mode = soak_proxy.Mode.FORWARD
        proxy.reset_connections()
        self._gateways.record_interruption(number)

    async def _remove_key_early(self) -> None:
        """Removes a key early, so that callers still run once it is revoked."""
        await asyncio.sleep(self._rng.uniform(0.5, 4.0))
        self._soak_store.publish_settings(removes_key=True)

    async def _limit_replica_rate(self) -> None:
        """Announces a rate limit for longer than its enforcement delay."""
        replica = self._rng.choice(self._replicas)
        if replica.rate_limit:
            return
        replica.announce_limit(self._rng.choice(("0", "0.5", "1", "3")))
        await asyncio.sleep(self._rng.uniform(4.0, 9.0))
        replica.announce_limit("")

    def _replace_replica(
        self, replica: platform_replica.PlatformReplica, from_s: float
    ) -> None:
        """Replaces a drained replica by one under a new name."""
        proxy = next(
            proxy for each, proxy in self._replica_proxies if each is replica
        )
        self._drain_periods.append(
            soak_draining.DrainPeriod(
                replica, replica.name, from_s, time.monotonic(), proxy
            )
        )
        self._soak_store.delist_replica(replica)
        replica.name += "n"
        replica.draining_hint = ""
        self._soak_store.list_replica(replica)

    async def _change_settings(self) -> None:
        self._soak_store.publish_settings()
        if self._rng.random() < 0.5:
            self._store.compact_history()
        if self._rng.random() < 0.7:
            await self._soak_store.inject_outage(self._rng.uniform(0.1, 1.0))

    async def _stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await self._gateways.kill_all()
        for proxy in self._proxies:
            await proxy.stop()


def _format_seeds(port: int) -> str:
    hosts = [f"127.0.1.{number + 1}" for number in range(_SEED_GATEWAYS)]
    return ",".join(f"{host}:{port}" for host in (*hosts, _UNREACHABLE_SEED))


def run_seed(
    seed: int,
    options: SoakOptions = SoakOptions(),
    log_folder: pathlib.Path | None = None,
) -> SoakResult:
    """Runs one seed; the logs stay in `log_folder` if one is given."""
    with tempfile.TemporaryDirectory() as folder:
        path = log_folder if log_folder is not None else pathlib.Path(folder)
        path.mkdir(parents=True, exist_ok=True)
        soak_run = SoakRun(seed, options, path)
        violations, statuses = asyncio.run(soak_run.run())
        violations += _find_tracebacks(path)
    return SoakResult(violations, statuses, soak_run.counts)


def _find_tracebacks(folder: pathlib.Path) -> list[str]:
    return [
        f"{path.name} contains a traceback"
        for path in sorted(folder.glob("*.log"))
        if "Traceback" in path.read_text(errors="replace")
    ]


def _make_rerun_command(seed: int, options: SoakOptions) -> str:
    """Returns the command that runs a seed again."""
    arguments = [
        "python -m standins.soak",
        f"--first {seed} --count 1",
        f"--gateways {options.gateways} --engines {options.engines}",
        f"--callers {options.callers}",
        *(["--withdraws"] if options.withdraws else []),
        *(["--limits"] if options.limits else []),
        *(["--fleet"] if options.fleet else []),
        *(["--links"] if options.links else []),
        *(["--stops"] if options.stops else []),
        *([f"--without {options.without}"] if options.without else []),
    ]
    return " ".join(arguments)


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
    links: bool = False,
    stops: bool = False,
    without: str = "",
    logs: pathlib.Path = _LOG_FOLDER,
) -> int:
    """Runs many seeds and keeps the logs of those that fail.

    Args:
        first: First seed.
        count: Number of seeds.
        gateways: Gateway processes of each seed.
        engines: Engines of each seed.
        callers: Callers of each seed.
        withdraws: Whether replicas drain and announce it in responses only.
        limits: Whether replicas announce rate limits.
        fleet: Whether gateways are peers and the store is restored.
        links: Whether gateways lose their links to targets; needs `fleet`.
        stops: Whether a gateway is stopped while calls wait at it, at the end.
        without: Mechanism that gateways run without, see soak_ablations.
        logs: Folder for the logs of failed seeds, one subfolder each.
    """
    loguru.logger.remove()
    options = SoakOptions(
        gateways,
        engines,
        callers=callers,
        withdraws=withdraws,
        limits=limits,
        fleet=fleet,
        links=links,
        stops=stops,
        without=without,
    )
    failed = 0
    total: collections.Counter[int] = collections.Counter()
    counts: collections.Counter[str] = collections.Counter()
    for seed in range(first, first + count):
        folder = logs / f"seed-{seed}"
        result = run_seed(seed, options, folder)
        failed += bool(result.violations)
        total.update(result.statuses)
        counts.update(result.counts)
        if not result.violations:
            shutil.rmtree(folder)
            continue
        lines = [f"seed {seed}: {each}" for each in result.violations]
        lines.append(
            f"again: {_make_rerun_command(seed, options)}; logs: {folder}"
        )
        (folder / "broken.txt").write_text("\n".join(lines) + "\n")
        print("\n".join(lines), flush=True)
    for name, number in sorted(counts.items()):
        print(f"{name}: {number}{'' if number else ' (did not occur)'}")
    print(f"{count} seeds, statuses: {dict(sorted(total.items()))}")
    print(f"{count - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(cyclopts.run(main))
