"""Fake of the platform's load balancer: health checks and round robin."""

import asyncio

from ruddergate import environment
from ruddergate.http import client

_CHECK_MS = 500.0
_CHECK_TIMEOUT_MS = 1_000.0


class Balancer:
    """Entries in rotation; a failed health check takes an entry out."""

    def __init__(
        self,
        env: environment.Environment,
        addresses: dict[str, environment.Address],
    ) -> None:
        self._env = env
        self._addresses = addresses
        self._ready: dict[str, bool] = dict.fromkeys(addresses, False)
        self._turn = 0

    async def run(self) -> None:
        """Runs health checks of all entries until cancelled."""
        await asyncio.gather(*(self._check(name) for name in self._addresses))

    async def wait_ready(self) -> None:
        """Returns when all entries are in rotation."""
        while not all(self._ready.values()):
            await asyncio.sleep(_CHECK_MS / 1000.0)

    def pick(self) -> list[environment.Address]:
        """Returns the entries to try, in order of preference."""
        self._turn += 1
        names = [name for name, ready in self._ready.items() if ready]
        names = names or list(self._addresses)
        turn = self._turn % len(names)
        return [self._addresses[name] for name in names[turn:] + names[:turn]]

    async def _check(self, name: str) -> None:
        request = client.make_json_request("GET", "/readyz")
        while True:
            answer = await client.fetch(
                self._env,
                self._addresses[name],
                request,
                _CHECK_TIMEOUT_MS,
            )
            is_answer = isinstance(answer, client.CompleteResponse)
            self._ready[name] = is_answer and answer.status == 200
            await asyncio.sleep(_CHECK_MS / 1000.0)
