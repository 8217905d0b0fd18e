"""Fake plain service."""

import asyncio

import cyclopts

from ruddergate import environment
from ruddergate.http import message
from ruddergate.http import server
from standins import _private
from standins import answers


class Service:
    """A service that answers with a digest of the body.

    Attributes:
        executions: Number of started requests by body.
        draining: Whether it refuses new work.
    """

    def __init__(
        self, env: environment.Environment, work_ms: float = 15.0
    ) -> None:
        self.executions: dict[str, int] = {}
        self.draining = False
        self._work_ms = work_ms
        self._running = 0
        self._generation = environment.make_random_id(env.random)

    async def handle(
        self, incoming: message.IncomingRequest
    ) -> message.Response:
        """Answers one HTTP request."""
        if incoming.path == "/v1/load":
            document = {
                "generation": self._generation,
                "running": self._running,
                "draining": self.draining,
            }
            return message.make_json_response(200, document)
        if incoming.path == "/admin/drain":
            self.draining = True
            return message.make_json_response(200, {})
        if self.draining:
            document = {"reason": "draining", "started": False}
            return message.make_json_response(503, document)
        return await self._process(incoming.body.decode())

    async def _process(self, body: str) -> message.Response:
        self.executions[body] = self.executions.get(body, 0) + 1
        self._running += 1
        try:
            await asyncio.sleep(self._work_ms / 1000.0)
        finally:
            self._running -= 1
        answer = {"answer": answers.make_service_answer(body)}
        return message.make_json_response(200, answer)


async def serve(
    env: environment.Environment,
    address: environment.Address,
    service: Service,
) -> None:
    """Serves a service until cancelled."""
    handler = server.make_stream_handler(service.handle, server.Limits())
    await env.serve(handler, address)
    await asyncio.Event().wait()


def main(*, listen: str, work_ms: float = 15.0) -> None:
    """Runs one fake service.

    Args:
        listen: Address to listen at (HOST:PORT).
        work_ms: Time that a request takes.
    """
    env = environment.make_system_environment()
    service = Service(env, work_ms)
    _private.run_until_signal(
        serve(env, environment.parse_address(listen), service)
    )


if __name__ == "__main__":
    cyclopts.run(main)
