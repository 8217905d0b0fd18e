"""The gateway processes of a soak; only these are signalled, by their ids."""

import asyncio
import contextlib
import dataclasses
import pathlib
import random
import signal
import sys
import time

from standins import soak_withdrawals

_ROOT = pathlib.Path(__file__).parent.parent
GRACE_S = 3.0
# 100 gateways on five cores listen after some ten seconds.
_START_MOST_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where a gateway runs.

    Attributes:
        host: Its address.
        hall: Its data hall.
        ports: For callers, readiness, metrics and peers.
        store_port: Where it reaches the store.
        seeds: Where it looks for peers; empty for nowhere.
    """

    host: str
    hall: str
    ports: tuple[int, int, int, int]
    store_port: int
    seeds: str = ""


class SoakGateways:
    """Starts, pauses, stops and kills gateways.

    Args:
        chance: Source of all chance.
        folder: Where their logs go.
        without: What they run without, see soak_ablations.

    Attributes:
        upsets: What befell them.
    """

    def __init__(
        self, chance: random.Random, folder: pathlib.Path, without: str
    ) -> None:
        self.upsets: list[soak_withdrawals.Upset] = []
        self._chance = chance
        self._folder = folder
        self._without = without
        self._places: list[Place] = []
        self._processes: list[asyncio.subprocess.Process] = []
        self._ending: set[int] = set()

    async def add(self, place: Place) -> None:
        """Starts one more gateway."""
        self._places.append(place)
        self._processes.append(await self._run(len(self._processes)))

    async def await_listening(self) -> None:
        """Returns once all listen; many of them start slowly."""
        await asyncio.gather(*map(_await_listening, self._places))

    async def pause(self) -> None:
        """Stops one for a while, as a suspended VM does."""
        number = self._choose()
        process = self._processes[number]
        self.note_upset(number)
        if _signal(process, signal.SIGSTOP):
            await asyncio.sleep(self._chance.uniform(0.2, 2.0))
            _signal(process, signal.SIGCONT)
            self.note_upset(number)

    async def kill(self) -> None:
        """Ends one at once, and starts it again."""
        await self._end(self._choose(), signal.SIGKILL)

    async def stop(self) -> None:
        """Ends one as planned, and starts it again."""
        number = self._choose()
        _signal(self._processes[number], signal.SIGHUP)
        await self._end(number, signal.SIGTERM)

    def note_upset(self, number: int) -> None:
        """Notes that something befell a gateway."""
        upset = soak_withdrawals.Upset(number, time.monotonic())
        self.upsets.append(upset)

    async def end_all(self) -> None:
        """Ends all for good."""
        for process in self._processes:
            _signal(process, signal.SIGCONT)
            _signal(process, signal.SIGKILL)
            await process.wait()

    def _choose(self) -> int:
        return self._chance.randrange(len(self._processes))

    async def _end(self, number: int, how: signal.Signals) -> None:
        if number in self._ending:
            # It is on its way out: another signal, but one new start.
            _signal(self._processes[number], how)
            return
        self._ending.add(number)
        process = self._processes[number]
        self.note_upset(number)
        _signal(process, how)
        try:
            await asyncio.wait_for(process.wait(), GRACE_S)
        except TimeoutError:
            _signal(process, signal.SIGKILL)
            await process.wait()
        self._processes[number] = await self._run(number)
        self.note_upset(number)
        self._ending.discard(number)

    async def _run(self, number: int) -> asyncio.subprocess.Process:
        command = _make_command(number, self._places[number], self._without)
        log = open(self._folder / f"gateway-{number}.log", "ab")  # noqa: SIM115
        return await asyncio.create_subprocess_exec(
            *command, stdout=log, stderr=log, cwd=_ROOT
        )


async def _await_listening(place: Place) -> None:
    until_s = time.monotonic() + _START_MOST_S
    while time.monotonic() < until_s:
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(
                place.host, place.ports[1]
            )
            writer.close()
            return
        await asyncio.sleep(0.1)


def _signal(process: asyncio.subprocess.Process, how: signal.Signals) -> bool:
    """Sends a signal to a process of ours that still runs."""
    if process.returncode is not None:
        return False
    try:
        process.send_signal(how)
    except ProcessLookupError:
        return False
    return True


def _make_command(number: int, place: Place, without: str) -> list[str]:
    front, ready, metrics, peers = place.ports
    flags = {
        "--vm-id": f"vm-{number}",
        "--hall": place.hall,
        "--listen": f"{place.host}:{front}",
        "--ready-listen": f"{place.host}:{ready}",
        "--metrics-listen": f"{place.host}:{metrics}",
        "--peer-listen": f"{place.host}:{peers}",
        "--store-address": f"127.0.0.1:{place.store_port}",
        "--grace-s": str(GRACE_S),
    }
    if place.seeds:
        flags["--seeds"] = place.seeds
    words = [word for pair in flags.items() for word in pair]
    program = [str(_ROOT / "deploy" / "gateway.py")]
    if without:
        program = ["-m", "standins.soak_ablations", without]
    return [sys.executable, *program, *words]
