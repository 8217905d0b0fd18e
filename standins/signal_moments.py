"""Signals at each moment of the start of a gateway, with real processes.

`python -m standins.signal_moments` starts a gateway for each moment and kind of
signal: SIGHUP, SIGTERM, or both at once. After a SIGHUP the gateway must become
ready with its settings; after a SIGTERM it must make its planned stop. Before
the program has set up a signal, the system's default ends the process. Such
moments are printed; a SIGTERM that meets a process that serves nobody yet is no
failure, nor is a SIGHUP while the interpreter starts.
"""

import asyncio
import collections
from collections.abc import Sequence
import dataclasses
import pathlib
import signal
import sys
import time

import cyclopts

from standins import _private
from standins import gateway_cluster
from standins import platform_store

_ROOT = pathlib.Path(__file__).parent.parent
_HOST = "127.0.0.1"
_READY_TIMEOUT_S = 20.0
_READY_POLL_S = 0.1
# A gateway ends within its grace period of 8 s.
_GRACE_S = 8.0
# The program's first line has run by then.
_INTERPRETER_MS = 100.0
_OK = 200
_ENDS = "Planned stop ends."
_KINDS = {
    "SIGHUP": (signal.SIGHUP,),
    "SIGTERM": (signal.SIGTERM,),
    "SIGHUP and SIGTERM": (signal.SIGHUP, signal.SIGTERM),
    "SIGTERM and SIGHUP": (signal.SIGTERM, signal.SIGHUP),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Moment:
    """When which signals are sent to a new process.

    Attributes:
        kind: Name of the signals.
        delay_ms: Time after the exec.
    """

    kind: str
    delay_ms: float

    def __str__(self) -> str:
        return f"{self.kind} after {self.delay_ms:.0f} ms"


async def check(moment: Moment, store_port: int) -> str:
    """Runs one gateway; returns what was wrong, `early ...`, or nothing."""
    ready_port = _private.find_free_port()
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "deploy/gateway.py",
        *_make_flags(ready_port, store_port),
        cwd=_ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output = asyncio.ensure_future(process.stdout.read())
    try:
        await asyncio.sleep(moment.delay_ms / 1_000.0)
        signals = _KINDS[moment.kind]
        unhandled = _list_unhandled(process.pid, signals)
        if moment.delay_ms >= _INTERPRETER_MS:
            unhandled = [each for each in unhandled if each != signal.SIGHUP]
        for each in signals:
            if process.returncode is None:
                process.send_signal(each)
        if signal.SIGTERM in signals:
            fault = await _check_stop(process, output)
        else:
            fault = await _check_ready(process, ready_port)
        if fault and process.returncode in [-each for each in unhandled]:
            return f"early: {fault}"
        return fault
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
        await output


async def _check_stop(
    process: asyncio.subprocess.Process, output: asyncio.Future
) -> str:
    try:
        async with asyncio.timeout(_GRACE_S):
            await process.wait()
            text = (await asyncio.shield(output)).decode()
    except TimeoutError:
        return "still runs at the end of its grace period"
    if process.returncode:
        return f"ended with status {process.returncode}"
    if "Traceback" in text or '"traceback"' in text:
        return "a traceback in its log"
    return "" if _ENDS in text else "ended without a planned stop"


async def _check_ready(
    process: asyncio.subprocess.Process, ready_port: int
) -> str:
    until_s = time.monotonic() + _READY_TIMEOUT_S
    while time.monotonic() < until_s:
        if process.returncode is not None:
            return f"ended with status {process.returncode}"
        if await _is_ready(ready_port):
            return ""
        await asyncio.sleep(_READY_POLL_S)
    return "not ready, so without settings"


async def _is_ready(port: int) -> bool:
    try:
        reader, writer = await asyncio.open_connection(_HOST, port)
    except OSError:
        return False
    try:
        writer.write(b"GET /api/ready HTTP/1.1\r\nhost: h\r\n\r\n")
        status = await reader.readline()
    except OSError:
        return False
    finally:
        writer.close()
    return status.split(b" ")[1:2] == [str(_OK).encode()]


def _list_unhandled(
    pid: int, signals: Sequence[signal.Signals]
) -> list[signal.Signals]:
    """Returns the signals for which a process has set up nothing yet."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    masks = {
        line.split(":")[0]: int(line.split()[1], 16)
        for line in status.splitlines()
        if line.startswith(("SigIgn", "SigCgt"))
    }
    handled = masks.get("SigIgn", 0) | masks.get("SigCgt", 0)
    return [each for each in signals if not handled >> (each - 1) & 1]


def _make_flags(ready_port: int, store_port: int) -> list[str]:
    flags = {
        "vm-id": "vm-1",
        "hall": "hall-0",
        "listen": f"{_HOST}:{_private.find_free_port()}",
        "ready-listen": f"{_HOST}:{ready_port}",
        "metrics-listen": f"{_HOST}:{_private.find_free_port()}",
        "peer-listen": f"{_HOST}:{_private.find_free_port()}",
        "store-address": f"{_HOST}:{store_port}",
    }
    return [
        part for name, value in flags.items() for part in (f"--{name}", value)
    ]


async def _check_all(moments: Sequence[Moment], jobs: int) -> int:
    store = platform_store.PlatformStore()
    keys = {"w1": [gateway_cluster.KEY]}
    store.put("op/config", gateway_cluster.make_configuration(keys, 1))
    server = await asyncio.start_server(store.make_handler(), _HOST)
    store_port = server.sockets[0].getsockname()[1]
    slots = asyncio.Semaphore(jobs)
    counts: collections.Counter[str] = collections.Counter()

    async def run(moment: Moment) -> None:
        async with slots:
            result = await check(moment, store_port)
        kind = result.split(":")[0] if result.startswith("early") else ""
        counts[kind or ("failed" if result else "passed")] += 1
        if result:
            print(f"{moment}: {result}", flush=True)

    await asyncio.gather(*map(run, moments))
    server.close()
    print(", ".join(f"{counts[each]} {each}" for each in sorted(counts)))
    return 1 if counts["failed"] else 0


def main(
    *,
    first_ms: float = 0.0,
    last_ms: float = 2_000.0,
    step_ms: float = 50.0,
    jobs: int = 2,
) -> None:
    """Runs a gateway for each moment and kind of signal.

    Args:
        first_ms: First moment after the exec.
        last_ms: Last moment.
        step_ms: Time between two moments.
        jobs: Number of gateways at a time.
    """
    count = int((last_ms - first_ms) // step_ms) + 1
    moments = [
        Moment(kind, first_ms + number * step_ms)
        for number in range(count)
        for kind in _KINDS
    ]
    sys.exit(asyncio.run(_check_all(moments, jobs)))


if __name__ == "__main__":
    cyclopts.run(main)
