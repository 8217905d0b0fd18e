"""Helpers shared by the stand-ins."""

import asyncio
from collections.abc import Coroutine
import itertools
import os
import signal
import socket

import cyclopts

NON_NEGATIVE = cyclopts.Parameter(validator=cyclopts.validators.Number(gte=0))


# Below the ephemeral ports (from 32,768 on): an outgoing connection could take
# one of those between the check here and its use.
_PORT_RANGE = range(10_000, 32_000)
# Each process starts at a different offset, so that concurrent processes rarely
# choose the same port; a process takes fewer ports than this.
_PORTS_PER_PROCESS = 97
_PORT_NUMBERS = itertools.count(os.getpid() * _PORTS_PER_PROCESS)


def find_free_port() -> int:
    """Returns a port at which nobody listens, a different one at each call."""
    for number in _PORT_NUMBERS:
        port = _PORT_RANGE[number % len(_PORT_RANGE)]
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port
    raise AssertionError("the port numbers are infinite")


def run_until_signal(coroutine: Coroutine) -> None:
    """Runs a coroutine until SIGTERM or SIGINT."""

    async def run() -> None:
        task = asyncio.ensure_future(coroutine)
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            await task
        except asyncio.CancelledError:
            return

    asyncio.run(run())
