"""Runs requests with an idempotency key or ticket at most once."""

import asyncio
from collections.abc import AsyncIterator

from ruddergate import outcomes
from ruddergate import request as requests
from ruddergate.decisions import ledger as ledgers
from ruddergate.entry import context as contexts
from ruddergate.entry import limits as limit_types
from ruddergate.entry import recording
from ruddergate.entry import serve

_UNSETTLED_RETRY_MS = 3_000.0


class KeyedRuns:
    """The ledger of one entry and its runs in progress; `len` counts them.

    A run belongs to the ledger, not to the caller that submitted it first: a
    caller that disconnects can resend the request and get the answer.
    """

    def __init__(
        self, context: contexts.EntryContext, limits: limit_types.Limits
    ) -> None:
        self._context = context
        self._limits = limits
        self._ledger: ledgers.Ledger[recording.Recording] = ledgers.Ledger()
        self._running: set[asyncio.Task] = set()

    def __len__(self) -> int:
        return len(self._running)

    async def serve_key(
        self, request: requests.Request
    ) -> AsyncIterator[recording.Event]:
        """Yields the events of the key's only run."""
        key = scope_key(request)
        if self._ledger.find(key) is None:
            refusal = self._check_may_run(key, request)
            if refusal is not None:
                yield refusal
                return
        async for event in self._follow_run(key, request):
            yield event

    async def serve_ticket(
        self, request: requests.Request
    ) -> AsyncIterator[recording.Event]:
        """Yields the events of the only run of a ticket issued here."""
        async for event in self._follow_run(
            f"ticket {request.ticket}", request
        ):
            yield event

    def _check_may_run(
        self, key: str, request: requests.Request
    ) -> outcomes.NotServed | None:
        now_ms = self._context.env.now_ms()
        view = self._context.view
        complete_since_ms = max(
            self._context.started_ms, self._ledger.complete_since_ms
        )
        verdict = ledgers.judge_key(
            key,
            request.key_age_ms,
            self._context.config.vm_id,
            view.listing,
            view.age_ms(now_ms),
            view.settled_ms(now_ms, complete_since_ms),
            self._context.config.bounds,
        )
        if verdict is ledgers.KeyVerdict.MAY_RUN:
            return None
        return outcomes.NotServed(
            outcomes.Reason.KEY_HOME_UNSETTLED,
            outcomes.Ran.UNKNOWN,
            f"the key may have been used before: {verdict.value}",
            _UNSETTLED_RETRY_MS,
        )

    async def _follow_run(
        self, key: str, request: requests.Request
    ) -> AsyncIterator[recording.Event]:
        entry = self._ledger.find(key)
        if entry is None:
            entry = self._start_run(key, request)
        if entry.recording is None:
            yield outcomes.NotServed(
                outcomes.Reason.KEY_ALREADY_USED,
                outcomes.Ran.RAN,
                "the key was used and its answer is no longer kept",
            )
            return
        async for event in entry.recording.follow(
            lambda: request.remaining_ms(self._context.env.now_ms())
        ):
            yield event

    def _start_run(
        self, key: str, request: requests.Request
    ) -> ledgers.Entry[recording.Recording]:
        now_ms = self._context.env.now_ms()
        entry = self._ledger.open(key, recording.Recording(), now_ms)
        task = asyncio.ensure_future(self._run(key, request, entry.recording))
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        return entry

    async def _run(
        self,
        key: str,
        request: requests.Request,
        record: recording.Recording,
    ) -> None:
        async for event in serve.serve(request, self._limits, self._context):
            if _never_ran(event):
                # Before the event is published, so that a resend starts a new
                # run.
                self._ledger.remove(key)
            record.add(event)
        if not _never_ran(record.last):
            self._ledger.keep_recording(key, record.size_bytes())


def _never_ran(event: recording.Event | None) -> bool:
    return (
        isinstance(event, outcomes.NotServed)
        and event.ran is outcomes.Ran.NOT_RUN
    )


def scope_key(request: requests.Request) -> str:
    """Returns the idempotency key, scoped to the workspace."""
    return f"{request.workload.workspace} {request.idempotency_key}"
