"""Counts requests in flight, so that a planned stop can wait for them."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib

from ruddergate import outcomes
from ruddergate.http import message
from ruddergate.telemetry import logs

Handle = Callable[[message.IncomingRequest], Awaitable[message.Response]]

_INTERNAL = outcomes.NotServed(
    outcomes.Reason.INTERNAL,
    outcomes.Ran.UNKNOWN,
    "internal error in the entry; see its log",
)


class InFlightCalls:
    """The requests that one process is answering; `len` returns their number.

    Args:
        write_failure: Renders the response to a request whose handler raised an
            exception.
    """

    def __init__(
        self,
        write_failure: Callable[[outcomes.NotServed], message.Response],
    ) -> None:
        self._write_failure = write_failure
        self._count = 0
        self._log = logs.make_logger("entry")

    def __len__(self) -> int:
        return self._count

    def track(self, handle: Handle) -> Handle:
        """Wraps a handler: counts its requests and handles its exceptions."""

        async def handle_counted(
            incoming: message.IncomingRequest,
        ) -> message.Response:
            self._count += 1
            try:
                response = await handle(incoming)
            except Exception:
                self._log.exception("Request failed with an internal error.")
                response = self._write_failure(_INTERNAL)
            except BaseException:
                self._count -= 1
                raise
            if isinstance(response.body, bytes):
                self._count -= 1
                return response
            body = self._count_body(response.body)
            return message.Response(
                response.status, response.headers, body, response.fields
            )

        return handle_counted

    async def _count_body(
        self, body: AsyncIterator[bytes]
    ) -> AsyncIterator[bytes]:
        try:
            async with contextlib.aclosing(body):
                async for part in body:
                    yield part
        finally:
            self._count -= 1
