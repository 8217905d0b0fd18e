"""The gateway processes of a soak; only these get signals, by process id."""

import asyncio
from collections.abc import Mapping
import contextlib
import dataclasses
import pathlib
import random
import signal
import sys
import time

from standins import soak_draining

_ROOT = pathlib.Path(__file__).parent.parent
GRACE_S = 3.0
# 100 gateways on five cores take about 10 s until they listen.
_START_TIMEOUT_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class LaunchConfig:
    """How to launch a gateway.

    Attributes:
        host: Address to listen at.
        hall: Data hall.
        ports: Ports for callers, readiness, metrics and peers.
        store_port: Port of the store, or of a proxy before it.
        seeds: Addresses of seed peers, comma-separated; empty for none.
        cut_file: File during whose existence its links to targets are cut;
            None to run it without that.
        flags: Further flags of its command line, with their values.
    """

    host: str
    hall: str
    ports: tuple[int, int, int, int]
    store_port: int
    seeds: str = ""
    cut_file: pathlib.Path | None = None
    flags: Mapping[str, str] = dataclasses.field(default_factory=dict)


class SoakGateways:
    """Starts, pauses, stops and kills gateways.

    Args:
        rng: Source of randomness.
        folder: Folder for their logs.
        without: Mechanism that they run without, see soak_ablations; empty for
            none.

    Attributes:
        interruptions: Interruptions of gateways so far.
        stops: When gateways were told to stop.
    """

    def __init__(
        self, rng: random.Random, folder: pathlib.Path, without: str
    ) -> None:
        self.interruptions: list[soak_draining.Interruption] = []
        self.stops: list[soak_draining.Interruption] = []
        self._rng = rng
        self._folder = folder
        self._without = without
        self._configs: list[LaunchConfig] = []
        self._processes: list[asyncio.subprocess.Process] = []
        self._restarting: set[int] = set()

    async def add(self, config: LaunchConfig) -> None:
        """Starts one more gateway."""
        self._configs.append(config)
        self._processes.append(await self._start_process(len(self._processes)))

    async def wait_until_listening(self) -> None:
        """Waits until all gateways listen, each for at most 60 s."""
        await asyncio.gather(*map(_wait_until_listening, self._configs))

    async def pause(self) -> None:
        """Suspends a random gateway for 0.2 s to 2 s, like a suspended VM."""
        number = self._choose_gateway()
        process = self._processes[number]
        self.record_interruption(number)
        if _signal(process, signal.SIGSTOP):
            await asyncio.sleep(self._rng.uniform(0.2, 2.0))
            _signal(process, signal.SIGCONT)
            self.record_interruption(number)

    async def kill(self) -> None:
        """Kills a random gateway and starts it again."""
        await self._restart(self._choose_gateway(), signal.SIGKILL)

    async def stop_any(self) -> None:
        """Stops a random gateway gracefully and starts it again."""
        number = self._choose_gateway()
        _signal(self._processes[number], signal.SIGHUP)
        await self.stop(number)

    async def stop(self, number: int) -> None:
        """Stops a gateway gracefully and starts it again."""
        await self._restart(number, signal.SIGTERM)

    async def terminate(self, number: int) -> int:
        """Stops a gateway gracefully; returns its exit status."""
        _signal(self._processes[number], signal.SIGTERM)
        return await self._processes[number].wait()

    def record_interruption(
        self, number: int, *, is_planned: bool = False
    ) -> None:
        """Records an interruption of a gateway that happens now."""
        interruption = soak_draining.Interruption(
            number, time.monotonic(), is_planned
        )
        self.interruptions.append(interruption)

    def list_process_ids(self) -> list[int]:
        """Returns the process ids of all gateways."""
        return [process.pid for process in self._processes]

    async def kill_all(self) -> None:
        """Kills all gateways and waits for them to end."""
        for process in self._processes:
            _signal(process, signal.SIGCONT)
            _signal(process, signal.SIGKILL)
            await process.wait()

    def _choose_gateway(self) -> int:
        return self._rng.randrange(len(self._processes))

    async def _restart(self, number: int, signum: signal.Signals) -> None:
        if number in self._restarting:
            # It is already being restarted: send the signal, but don't start
            # it twice.
            if signum == signal.SIGKILL:
                self.record_interruption(number)
            _signal(self._processes[number], signum)
            return
        self._restarting.add(number)
        process = self._processes[number]
        is_planned = signum == signal.SIGTERM
        self.record_interruption(number, is_planned=is_planned)
        if is_planned:
            self.stops.append(self.interruptions[-1])
        _signal(process, signum)
        try:
            await asyncio.wait_for(process.wait(), GRACE_S)
        except TimeoutError:
            _signal(process, signal.SIGKILL)
            await process.wait()
        self._processes[number] = await self._start_process(number)
        self.record_interruption(number, is_planned=is_planned)
        self._restarting.discard(number)

    async def _start_process(self, number: int) -> asyncio.subprocess.Process:
        command = _make_command(number, self._configs[number], self._without)
        log = open(self._folder / f"gateway-{number}.log", "ab")  # noqa: SIM115
        return await asyncio.create_subprocess_exec(
            *command, stdout=log, stderr=log, cwd=_ROOT
        )


async def _wait_until_listening(config: LaunchConfig) -> None:
    until_s = time.monotonic() + _START_TIMEOUT_S
    while time.monotonic() < until_s:
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(
                config.host, config.ports[1]
            )
            writer.close()
            return
        await asyncio.sleep(0.1)


def _signal(
    process: asyncio.subprocess.Process, signum: signal.Signals
) -> bool:
    """Sends a signal to a process; returns False if it has ended."""
    if process.returncode is not None:
        return False
    try:
        process.send_signal(signum)
    except ProcessLookupError:
        return False
    return True


def _make_command(number: int, config: LaunchConfig, without: str) -> list[str]:
    caller_port, ready, metrics, peers = config.ports
    flags = {
        "--vm-id": f"vm-{number}",
        "--hall": config.hall,
        "--listen": f"{config.host}:{caller_port}",
        "--ready-listen": f"{config.host}:{ready}",
        "--metrics-listen": f"{config.host}:{metrics}",
        "--peer-listen": f"{config.host}:{peers}",
        "--store-address": f"127.0.0.1:{config.store_port}",
        "--grace-s": str(GRACE_S),
        **config.flags,
    }
    if config.seeds:
        flags["--seeds"] = config.seeds
    arguments = [argument for pair in flags.items() for argument in pair]
    program = [str(_ROOT / "deploy" / "gateway.py")]
    if without:
        program = ["-m", "standins.soak_ablations", without]
    if config.cut_file is not None:
        kept = f"{config.store_port},{peers}"
        options = [str(config.cut_file), kept]
        ablation = ["--without", without] if without else []
        program = ["-m", "standins.soak_links", *options, *ablation]
    return [sys.executable, *program, *arguments]
