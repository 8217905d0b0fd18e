"""Runs a request on this VM within its limits, as a stream of events."""

from collections.abc import AsyncIterator

from ruddergate import outcomes
from ruddergate import request as requests
from ruddergate.adapters.engines import stream_event as parts
from ruddergate.entry import context as contexts
from ruddergate.entry import limits as limit_types
from ruddergate.entry import model_run
from ruddergate.entry import recording
from ruddergate.entry import service_run


async def serve(
    request: requests.Request,
    limits: limit_types.Limits,
    context: contexts.EntryContext,
) -> AsyncIterator[recording.Event]:
    """Yields the answer's events; the last one is the outcome."""
    refusal = limits.start(request)
    if refusal is not None:
        _note(request, refusal, context)
        yield refusal
        return
    try:
        async for event in _run(request, context):
            _note(request, event, context)
            yield event
    finally:
        limits.end(request)


async def _run(
    request: requests.Request, context: contexts.EntryContext
) -> AsyncIterator[recording.Event]:
    if request.service_path:
        yield await service_run.run(request, context)
        return
    is_first = True
    async for event in model_run.run(request, context):
        if is_first and isinstance(event, parts.Tokens):
            is_first = False
            took_ms = context.env.now_ms() - request.arrived_ms
            context.metrics.record_first_token(request.prompt_tokens, took_ms)
        yield event


def _note(
    request: requests.Request,
    event: recording.Event,
    context: contexts.EntryContext,
) -> None:
    if isinstance(event, parts.Tokens):
        return
    if isinstance(event, outcomes.NotServed):
        context.metrics.record_outcome(event.reason.value, event.ran.value)
        return
    if isinstance(event, outcomes.Finished):
        context.metrics.tokens.add({}, event.output_tokens)
    context.metrics.record_outcome("finished", outcomes.Ran.RAN.value)
