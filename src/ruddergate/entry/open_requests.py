"""Relayed requests that are not answered yet, and what each one is doing."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import dataclasses
from typing import TypeVar

from ruddergate import environment
from ruddergate import request as requests
from ruddergate.entry import relay_progress
from ruddergate.telemetry import logs

T = TypeVar("T")

# Requests that are logged one by one as a planned stop ends; others are only
# counted.
MAX_LOGGED = 200


@dataclasses.dataclass(eq=False, slots=True)
class OpenRequest:
    """A request that is not answered yet.

    Attributes:
        request: The request.
        progress: Its progress.
        has_answer: Whether there is a response, or its head.
    """

    request: requests.Request
    progress: relay_progress.Progress
    has_answer: bool = False
    _waiting: asyncio.Timeout | None = None

    @property
    def stage(self) -> relay_progress.Stage:
        """What the request is doing."""
        return self.progress.current.stage

    async def wait_for_answer(self, answer: Awaitable[T]) -> T | None:
        """Returns the answer, or None if the wait is ended before."""
        waiting = self._waiting = asyncio.timeout(None)
        try:
            async with waiting:
                found = await answer
                self.has_answer = True
                return found
        except TimeoutError:
            if waiting.expired():
                return None
            raise
        finally:
            self._waiting = None

    def end_wait(self) -> None:
        """Ends the wait for the answer, if there is one."""
        if self._waiting is not None and not self._waiting.expired():
            # A time in the past ends it at once.
            self._waiting.reschedule(0.0)


class OpenRequests:
    """The requests that one process is answering, for a planned stop."""

    def __init__(self, env: environment.Environment) -> None:
        self._env = env
        # In order of arrival; a dictionary, as sets have none.
        self._open: dict[OpenRequest, None] = {}
        self._log = logs.make_logger("entry")

    @contextlib.contextmanager
    def track(
        self,
        request: requests.Request,
        progress: relay_progress.Progress,
    ) -> Iterator[OpenRequest]:
        """Counts a request as open inside a `with` statement."""
        opened = OpenRequest(request, progress)
        self._open[opened] = None
        try:
            yield opened
        finally:
            del self._open[opened]

    def count_by_stage(self) -> Mapping[str, int]:
        """Returns how many requests are in each stage."""
        counts = collections.Counter(each.stage.value for each in self._open)
        return {
            stage.value: counts[stage.value] for stage in relay_progress.Stage
        }

    def end_waits(self, includes_sent: bool) -> None:
        """Ends the waits of requests for the head of a response.

        Args:
            includes_sent: Whether to end those that a target has, too.
        """
        for each in list(self._open):
            if includes_sent or not each.progress.current.is_sent:
                each.end_wait()

    def log_cut(self) -> None:
        """Logs the requests that the end of the process leaves unanswered."""
        now_ms = self._env.now_ms()
        for each in list(self._open)[:MAX_LOGGED]:
            request = each.request
            self._log.warning(
                "Request is cut, as the planned stop ends.",
                request_id=request.request_id,
                route=request.payload.route.name,
                stage=each.stage.value,
                has_answer=each.has_answer,
                prompt_tokens=request.prompt_tokens,
                sent=each.progress.counted_attempts,
                unsent=each.progress.unsent_attempts,
                took_ms=round(now_ms - request.arrived_ms),
                left_ms=round(request.remaining_ms(now_ms)),
            )
