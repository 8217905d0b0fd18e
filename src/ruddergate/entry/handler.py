"""HTTP handler for callers: parses, admits, runs and renders requests."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib

from ruddergate import outcomes
from ruddergate import request as requests
from ruddergate.adapters.callers import call as calls
from ruddergate.adapters.callers import parse
from ruddergate.adapters.callers import render
from ruddergate.adapters.engines import stream_event as parts
from ruddergate.adapters.services import call as service_calls
from ruddergate.decisions import ledger as ledgers
from ruddergate.entry import admit
from ruddergate.entry import context as contexts
from ruddergate.entry import forwarding
from ruddergate.entry import keyed as keyed_runs
from ruddergate.entry import limits as limit_types
from ruddergate.entry import recording
from ruddergate.entry import serve
from ruddergate.entry import tickets
from ruddergate.http import message
from ruddergate.telemetry import logs

TICKETS = "/v1/tickets"
# After this time the ledger may have dropped the entry of a ticket.
TICKET_VALID_MS = 3_600_000.0
_UNKNOWN_RETRY_MS = 2_000.0
_NOT_FOUND = 404

Events = AsyncIterator[recording.Event]
Route = Callable[[requests.Request], Events]


class Handler:
    """Decides which VM runs each request, and renders the answer."""

    def __init__(
        self,
        context: contexts.EntryContext,
        limits: limit_types.Limits,
        keyed: keyed_runs.KeyedRuns,
    ) -> None:
        self._context = context
        self._limits = limits
        self._keyed = keyed
        self._log = logs.make_logger("entry")

    async def handle(
        self, incoming: message.IncomingRequest
    ) -> message.Response:
        """Answers a caller."""
        if incoming.path == TICKETS and incoming.method == "POST":
            return self._issue_ticket(incoming)
        return await self._handle_call(incoming, is_forwarded=False)

    async def handle_forwarded(
        self, incoming: message.IncomingRequest
    ) -> message.Response:
        """Answers a request that another entry forwarded to its home VM."""
        return await self._handle_call(incoming, is_forwarded=True)

    async def _handle_call(
        self, incoming: message.IncomingRequest, is_forwarded: bool
    ) -> message.Response:
        if not _is_call(incoming):
            return render.make_error_response(_refuse_path(incoming.path))
        call = parse.parse_call(incoming)
        if isinstance(call, outcomes.NotServed):
            return render.make_error_response(call)
        request = admit.admit(call, self._context.view, self._context.env)
        if isinstance(request, outcomes.NotServed):
            self._context.metrics.record_outcome(request.reason, request.ran)
            return render.make_error_response(request)
        if request.ticket:
            return await self._handle_ticket(
                incoming, call, request, is_forwarded
            )
        if request.idempotency_key:
            return await self._handle_key(incoming, call, request, is_forwarded)
        events = serve.serve(request, self._limits, self._context)
        return await self._respond(call, request, events)

    async def _handle_key(
        self,
        incoming: message.IncomingRequest,
        call: calls.Call,
        request: requests.Request,
        is_forwarded: bool,
    ) -> message.Response:
        own_id = self._context.config.vm_id
        listing = self._context.view.listing
        home = ledgers.find_home(keyed_runs.scope_key(request), listing)
        if home == own_id or is_forwarded:
            events = self._keyed.serve_key(request)
            return await self._respond(call, request, events)
        return await self._forward(
            incoming,
            request,
            home or "",
            outcomes.Reason.KEY_HOME_UNREACHABLE,
            "the home VM of this idempotency key is unreachable",
        )

    async def _handle_ticket(
        self,
        incoming: message.IncomingRequest,
        call: calls.Call,
        request: requests.Request,
        is_forwarded: bool,
    ) -> message.Response:
        ticket = tickets.parse(
            request.ticket,
            self._context.config.peer_key,
            request.workload.workspace,
        )
        if ticket is None:
            return render.make_error_response(
                outcomes.refuse(outcomes.Reason.BAD_REQUEST, "unknown ticket")
            )
        if ticket.incarnation == self._context.incarnation:
            age_ms = self._context.env.now_ms() - ticket.issued_ms
            if age_ms > TICKET_VALID_MS:
                return render.make_error_response(
                    _refuse_ticket("it has expired")
                )
            events = self._keyed.serve_ticket(request)
            return await self._respond(call, request, events)
        if is_forwarded or ticket.vm_id == self._context.config.vm_id:
            return render.make_error_response(
                _refuse_ticket("the process that issued it has ended")
            )
        return await self._forward(
            incoming,
            request,
            ticket.vm_id,
            outcomes.Reason.TICKET_HOME_GONE,
            "the VM that issued this ticket is unreachable",
        )

    def _issue_ticket(
        self, incoming: message.IncomingRequest
    ) -> message.Response:
        key = parse.read_key(incoming.headers) or ""
        workspace = self._context.view.index.find_workspace(key)
        if workspace is None:
            return render.make_error_response(
                outcomes.refuse(outcomes.Reason.UNKNOWN_KEY, "unknown key")
            )
        ticket = tickets.issue(
            self._context.config.peer_key,
            self._context.config.vm_id,
            self._context.incarnation,
            workspace,
            self._context.env.now_ms(),
            self._context.env.random,
        )
        document = {"ticket": ticket, "valid_ms": TICKET_VALID_MS}
        return message.make_json_response(200, document)

    async def _forward(
        self,
        incoming: message.IncomingRequest,
        request: requests.Request,
        vm_id: str,
        reason: outcomes.Reason,
        detail: str,
    ) -> message.Response:
        failure = outcomes.NotServed(
            reason, outcomes.Ran.UNKNOWN, detail, _UNKNOWN_RETRY_MS
        )
        listed = self._context.view.listing.vms
        found = [vm for vm in listed if vm.vm_id == vm_id]
        if not found:
            return render.make_error_response(failure, request.request_id)
        return await forwarding.forward_request(
            self._context.env,
            found[0].entry_peer,
            self._context.config.peer_key,
            incoming,
            request.remaining_ms(self._context.env.now_ms()),
            lambda: render.make_error_response(failure, request.request_id),
            lambda: render.render_error(failure),
        )

    async def _respond(
        self, call: calls.Call, request: requests.Request, events: Events
    ) -> message.Response:
        response_format = render.ResponseFormat(
            request_id=request.request_id,
            model=request.workload.name,
            is_chat=call.is_chat,
            prompt_tokens=request.prompt_tokens,
            created_s=int(self._context.env.wall_ms() / 1000.0),
        )
        if call.stream:
            return await self._stream(response_format, events)
        texts: list[str] = []
        async with contextlib.aclosing(events):
            async for event in events:
                if isinstance(event, parts.Tokens):
                    texts.extend(event.texts)
                else:
                    return self._end(response_format, "".join(texts), event)
        raise AssertionError("a run ended without an outcome")

    def _end(
        self,
        response_format: render.ResponseFormat,
        text: str,
        event: recording.Event,
    ) -> message.Response:
        if isinstance(event, service_calls.ServiceResponse):
            headers = {
                "content-type": event.content_type,
                "ruddergate-request-id": response_format.request_id,
            }
            return message.Response(event.status, headers, event.body)
        if isinstance(event, outcomes.NotServed):
            self._log_failure(response_format, event)
            return render.make_error_response(event, response_format.request_id)
        return render.make_full_response(response_format, text, event)

    async def _stream(
        self, response_format: render.ResponseFormat, events: Events
    ) -> message.Response:
        """Waits for the first event, so that early failures get a status."""
        try:
            first = await anext(events)
        except BaseException:
            await events.aclose()
            raise
        if isinstance(first, outcomes.NotServed):
            await events.aclose()
            self._log_failure(response_format, first)
            return render.make_error_response(first, response_format.request_id)
        headers = render.make_stream_headers(response_format)
        body = self._render_events(response_format, first, events)
        return message.Response(200, headers, body)

    async def _render_events(
        self,
        response_format: render.ResponseFormat,
        first: recording.Event,
        events: Events,
    ) -> AsyncIterator[bytes]:
        async with contextlib.aclosing(events):
            yield self._render_event(response_format, first)
            async for event in events:
                yield self._render_event(response_format, event)

    def _render_event(
        self, response_format: render.ResponseFormat, event: recording.Event
    ) -> bytes:
        if isinstance(event, parts.Tokens):
            return render.render_tokens(response_format, "".join(event.texts))
        if isinstance(event, outcomes.NotServed):
            self._log_failure(response_format, event)
            return render.render_error(event)
        return render.render_end(response_format, event)

    def _log_failure(
        self,
        response_format: render.ResponseFormat,
        failure: outcomes.NotServed,
    ) -> None:
        self._log.info(
            "Request ended: {} ({}). {}",
            failure.reason.value,
            failure.ran.value,
            failure.detail,
            request_id=response_format.request_id,
        )


def with_span(
    handle: Callable[[message.IncomingRequest], Awaitable[message.Response]],
    context: contexts.EntryContext,
) -> Callable[[message.IncomingRequest], Awaitable[message.Response]]:
    """Wraps a handler in a trace span, which later hops continue."""

    async def handle_in_span(
        incoming: message.IncomingRequest,
    ) -> message.Response:
        incoming_traceparent = incoming.headers.get("traceparent", "")
        with context.tracer.span(
            "request", incoming_traceparent
        ) as traceparent:
            if traceparent == incoming_traceparent:
                return await handle(incoming)
            headers = {**incoming.headers, "traceparent": traceparent}
            return await handle(
                message.IncomingRequest(
                    incoming.method,
                    incoming.path,
                    incoming.query,
                    headers,
                    incoming.body,
                )
            )

    return handle_in_span


def _is_call(incoming: message.IncomingRequest) -> bool:
    if incoming.method != "POST":
        return False
    is_model = incoming.path in (parse.COMPLETIONS, parse.CHAT)
    return is_model or incoming.path.startswith(parse.SERVICES)


def _refuse_path(path: str) -> outcomes.NotServed:
    return outcomes.refuse(
        outcomes.Reason.BAD_REQUEST, f"nothing is served at {path:.80}"
    )


def _refuse_ticket(why: str) -> outcomes.NotServed:
    return outcomes.NotServed(
        outcomes.Reason.TICKET_HOME_GONE,
        outcomes.Ran.UNKNOWN,
        f"the ticket is no longer valid: {why}",
    )
