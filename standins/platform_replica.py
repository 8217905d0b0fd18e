"""A replica of the users' platform: an engine or a plain service.

It records what it ran, and can be made to fail in many ways.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Mapping
import contextlib
import dataclasses
import re

import orjson

from ruddergate.http import message
from ruddergate.http import server
from standins import cut_writer
from standins import iteration_engine
from standins import status_writer

_TOKENS_PER_EVENT = 46
_SIGNATURE = "X-Replica-Signature"
_ORDER_PATH = "/api/order"
_REPORT_PATH = "/api/report"
_LAPSE_POLL_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One run of a request.

    Attributes:
        request_id: The caller's id of the request.
        replica: Name of the replica.
        workspace: Workspace that the gateway named.
        resumed_after: Last event that the caller had; 0 to start from the
            beginning.
        at_ms: When it began, on the replica's clock.
        body: Body of the request.
        at_s: When it began, on the loop's clock.
        parts: Names of the parts of its prompt, without the last.
        note: Value of X-Note, or empty.
    """

    request_id: str
    replica: str
    workspace: str
    resumed_after: int
    at_ms: float
    body: bytes = b""
    at_s: float = 0.0
    parts: tuple[str, ...] = ()
    note: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached a replica.

    Attributes:
        request_id: The caller's id of the request.
        at_s: When it arrived, on the loop's clock.
        backoff_s: For how long the replica told the VM to send no requests.
        time_limit_ms: Time that it was given.
    """

    request_id: str
    at_s: float
    backoff_s: float = 0.0
    time_limit_ms: float = 0.0


@dataclasses.dataclass(slots=True)
class Work:
    """What a replica does about one request, from the request's arrival.

    Attributes:
        request_id: The caller's id of the request.
        replica: The replica.
        arrived_s: When the request arrived, on the loop's clock.
        began_s: When its run began; infinity if it doesn't run.
        ended_s: When the replica had answered it or had seen that its caller
            left; infinity before, and if the replica's process ends first.
        broke_off_s: When the replica reset the connection; infinity if not.
        read_tokens: Prompt tokens that were read for it, also on helpers.
    """

    request_id: str
    replica: "PlatformReplica"
    arrived_s: float
    began_s: float = float("inf")
    ended_s: float = float("inf")
    broke_off_s: float = float("inf")
    read_tokens: float = 0.0

    def note_read(self, tokens: float) -> None:
        """Records that prompt tokens were read."""
        self.read_tokens += tokens


@dataclasses.dataclass(slots=True)
class HelpedRun:
    """A run for which other replicas read a part of the prompt.

    Attributes:
        request_id: The caller's id of the request.
        replica: Name of the replica that runs it.
        helpers: The other replicas.
        reservations: Names of the memory that is used, with the helpers that
            hold it.
        work: What the replica does about the request.
        has_begun: Whether its first event was made.
        ended_s: When the run ended, on the loop's clock; infinity before.
        lapsed: Helpers whose memory lapsed during the run.
    """

    request_id: str
    replica: str
    helpers: tuple["PlatformReplica", ...]
    reservations: tuple[tuple[str, "PlatformReplica"], ...]
    work: Work
    has_begun: bool = False
    ended_s: float = float("inf")
    lapsed: tuple["PlatformReplica", ...] = ()

    def has_lapsed(self) -> bool:
        """Returns whether memory that the run uses is no longer reserved."""
        self.lapsed = tuple(
            helper
            for name, helper in self.reservations
            if not helper.is_reserved(name)
        )
        return bool(self.lapsed)

    async def wait_for_lapse(self) -> None:
        """Returns once memory that the run uses is no longer reserved."""
        while not self.has_lapsed():
            await asyncio.sleep(_LAPSE_POLL_S)


@dataclasses.dataclass(frozen=True, slots=True)
class AnnouncedLimit:
    """A rate limit that a replica announces from some time on.

    Attributes:
        at_s: Time of the first announcement, on the loop's clock.
        rate_per_s: Requests a second from all VMs; infinity for no limit.
    """

    at_s: float
    rate_per_s: float


@dataclasses.dataclass(slots=True)
class ReplicaFaults:
    """Faults of a replica; probabilities are drawn for each request.

    Attributes:
        refuse: Probability of answering that the request did not run.
        fail: Probability of running it and answering 500.
        lose: Probability of running it and closing the connection without an
            answer.
        break_off: Probability of resetting the connection in mid-answer.
        unsigned: Probability of an answer without the replica's signature.
        foreign: Probability of an answer with the id of another request.
        mute: Whether it accepts requests and never answers.
        hang: Probability of accepting a request and never answering.
        silent_s: How long streams stall after their third event, with the
            connection left open.
        resumed_status: Status of answers to resumed streams; 0 to go on with
            them.
        answer_delay_s: How much longer a plain service takes.
        is_unfit_helper: Whether replicas that get a request with this one as a
            helper refuse it.
        retry_after: Value of Retry-After in a refusal; empty for none.
        answer_header: Value of X-Note in all answers; empty for none.
        event_id_suffix: What follows the numbers in the ids of events.
        stream_preamble: Sent at the beginning of a stream, before its prompt is
            processed.
        answer_bytes_max: Bytes that are sent on a connection, to callers,
            orders and probes, before it is closed; None for all.
        answer_status: Status of all its answers, as bytes of any form; None for
            the status of each.
    """

    refuse: float = 0.0
    fail: float = 0.0
    lose: float = 0.0
    break_off: float = 0.0
    unsigned: float = 0.0
    foreign: float = 0.0
    mute: bool = False
    hang: float = 0.0
    silent_s: float = 0.0
    resumed_status: int = 0
    answer_delay_s: float = 0.0
    is_unfit_helper: bool = False
    retry_after: str = ""
    answer_header: str = ""
    event_id_suffix: str = ""
    stream_preamble: bytes = b""
    answer_bytes_max: int | None = None
    answer_status: bytes | None = None


class PlatformReplica:
    """One incarnation of a replica.

    Attributes:
        name: Name of the incarnation.
        runs: Every run it began.
        active_runs: Runs without the head of an answer.
        faults: Faults that it shows.
        reservations: Reserved tokens of memory and their expiry, by id.
        started_ms: When it started, in Unix milliseconds; 0 to not report it.
        poison_bodies: Bodies of requests that crash it once it begins to answer
            them.
        poison_parts: Names of parts of prompts that do so, too.
        poison_delay_s: How long after the first event such a part crashes it;
            None for before any answer.
        crash: Crashes it.
        draining_hint: Value of Server-Leaving in all answers; empty for no such
            header.
        has_announced_draining: Whether an answer ever said that it is draining.
        arrivals: Every request that arrived, also those that it refused.
        works: What it does about every request that arrived, also those that it
            refuses or ignores.
        crashed_s: When its process was killed, on the loop's clock; infinity
            before.
        helped: How often another replica used it as a helper.
        helped_runs: Every run that it began with helpers.
        rate_limit: Value of Server-Limit in all answers; empty for no such
            header.
        limits: Rate limits that it announced, in order of time.
        limit_answer_times_s: When answers announced a limit, by request.
        order_times_s: When orders arrived, on the loop's clock.
        probe_times_s: When health probes arrived, on the loop's clock.
        broken_off: Requests whose connections it reset before the end.
        ended_s: When its last work on each request ended, on the loop's clock.
        statuses: Statuses that it answered to each request.
    """

    def __init__(
        self,
        name: str,
        env,  # noqa: ANN001
        spec: iteration_engine.EngineSpec | None,
        peers: dict,
    ) -> None:
        self.name = name
        self.runs: list[Run] = []
        self.faults = ReplicaFaults()
        self.reservations: dict[str, tuple[int, float]] = {}
        self.engine = iteration_engine.IterationEngine(spec) if spec else None
        self.started_ms = 0
        self.poison_bodies: set[bytes] = set()
        self.poison_parts: set[str] = set()
        self.poison_delay_s: float | None = None
        self.crash: Callable[[], None] = lambda: None
        self.draining_hint = ""
        self.has_announced_draining = False
        self.arrivals: list[Arrival] = []
        self.works: list[Work] = []
        self.crashed_s = float("inf")
        self.helped = 0
        self.helped_runs: list[HelpedRun] = []
        self.limits: list[AnnouncedLimit] = []
        self.limit_answer_times_s: dict[str, float] = {}
        self.order_times_s: list[float] = []
        self.probe_times_s: list[float] = []
        self.broken_off: set[str] = set()
        self.ended_s: dict[str, float] = {}
        self.statuses: dict[str, set[int]] = {}
        self.rate_limit = ""
        self._env = env
        self._peers = peers
        self._count = 0
        self.active_runs = 0

    def make_handler(self):  # noqa: ANN201
        """Returns the stream handler that serves the replica."""
        handle = server.make_stream_handler(self._handle, server.Limits())

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            if self.faults.answer_bytes_max is not None:
                writer = cut_writer.CutWriter(
                    writer, self.faults.answer_bytes_max
                )
            if self.faults.answer_status is not None:
                writer = status_writer.StatusWriter(
                    writer, self.faults.answer_status
                )
            await handle(reader, writer)

        return serve

    def announce_limit(self, text: str) -> None:
        """Announces a rate limit in all answers from now on; empty for none."""
        self.rate_limit = text
        rates = [float(each) for each in text.split(",") if each]
        rate_per_s = min(rates, default=float("inf"))
        now_s = asyncio.get_running_loop().time()
        self.limits.append(AnnouncedLimit(now_s, rate_per_s))

    async def _handle(
        self, incoming: message.IncomingRequest
    ) -> message.Response:
        now_s = asyncio.get_running_loop().time()
        if incoming.path == _ORDER_PATH:
            self.order_times_s.append(now_s)
        if incoming.path == _REPORT_PATH:
            self.probe_times_s.append(now_s)
        answer = await self._answer(incoming)
        request_id = incoming.headers.get("x-attempt-id", "")
        self.statuses.setdefault(request_id, set()).add(answer.status)
        hints: tuple[tuple[str, str], ...] = ()
        if self.faults.answer_header:
            hints += (("X-Note", self.faults.answer_header),)
        if self.draining_hint:
            self.has_announced_draining = (
                self.has_announced_draining or self.draining_hint == "1"
            )
            hints += (("Server-Leaving", self.draining_hint),)
        if self.rate_limit:
            hints += (("Server-Limit", self.rate_limit),)
            now_s = asyncio.get_running_loop().time()
            self.limit_answer_times_s.setdefault(request_id, now_s)
        return dataclasses.replace(answer, fields=answer.fields + hints)

    async def _answer(
        self, incoming: message.IncomingRequest
    ) -> message.Response:
        if incoming.path == _ORDER_PATH:
            return self._handle_order(orjson.loads(incoming.body))
        if incoming.path == _REPORT_PATH:
            report = {"stage": "both", **self.make_start_field()}
            return message.make_json_response(200, report)
        work = Work(
            incoming.headers.get("x-attempt-id", ""),
            self,
            asyncio.get_running_loop().time(),
        )
        self.works.append(work)
        is_streamed = False
        try:
            answer = await self._answer_request(incoming, work)
            is_streamed = not isinstance(answer.body, bytes)
        finally:
            if not is_streamed:
                work.ended_s = asyncio.get_running_loop().time()
        if not is_streamed:
            return answer
        return dataclasses.replace(answer, body=_follow(work, answer.body))

    async def _answer_request(
        self, incoming: message.IncomingRequest, work: Work
    ) -> message.Response:
        if self.faults.mute or self._draw(self.faults.hang):
            await asyncio.sleep(3_600.0)
        expected = incoming.headers.get("x-expect-replica", self.name)
        if expected != self.name:
            return message.Response(421, {"X-Replica-Id": self.name}, b"")
        is_refused = self._draw(self.faults.refuse)
        retry_after = self.faults.retry_after if is_refused else ""
        self.arrivals.append(
            Arrival(
                incoming.headers.get("x-attempt-id", ""),
                asyncio.get_running_loop().time(),
                _parse_seconds(retry_after),
                _parse_seconds(incoming.headers.get("x-deadline-ms", "")),
            )
        )
        if self.faults.answer_bytes_max is not None:
            self.broken_off.add(incoming.headers.get("x-attempt-id", ""))
        if is_refused:
            fields = {"X-Not-Executed": "1"}
            if retry_after:
                fields["Retry-After"] = retry_after
            return message.Response(503, fields, b"")
        unfit_address = self._find_unfit_helper(
            incoming.headers.get("helpers", "")
        )
        if unfit_address is not None:
            fields = {"X-Not-Executed": "1", "At-Server": unfit_address}
            return message.Response(503, fields, b"")
        return await self._run(incoming, work)

    def _find_unfit_helper(self, helpers: str) -> str | None:
        """Returns the address of the first helper that is unfit, if any."""
        for address, name in _parse_helpers(helpers):
            helper = self._peers[address]
            lacks_memory = bool(name) and not helper.is_reserved(name)
            if helper.faults.is_unfit_helper or lacks_memory:
                return address
        return None

    def _handle_order(self, order: dict) -> message.Response:
        self._drop_expired()
        now_ms = self._env.now_ms()
        live = self.reservations
        if order["op"] == "release":
            live.pop(order["id"], None)
            return message.make_json_response(200, {"free": 0})
        memory = self.engine.spec.memory_tokens if self.engine else 0
        used = sum(
            each[0] for name, each in live.items() if name != order["id"]
        )
        if used + order["token-count"] > memory:
            return message.make_json_response(409, {"free": memory - used})
        expires_ms = now_ms + order["hold-ms"]
        live[order["id"]] = (order["token-count"], expires_ms)
        asyncio.get_running_loop().call_later(
            order["hold-ms"] / 1000.0, self._drop_expired
        )
        return message.make_json_response(200, {"free": memory - used})

    def _drop_expired(self) -> None:
        now_ms = self._env.now_ms()
        self.reservations = {
            name: each
            for name, each in self.reservations.items()
            if each[1] > now_ms
        }

    def make_start_field(self) -> dict[str, int]:
        """Returns the field that reports when it started, if it does."""
        return {"born": self.started_ms} if self.started_ms else {}

    def is_reserved(self, name: str) -> bool:
        """Returns whether memory is reserved under a name now."""
        _, expires_ms = self.reservations.get(name, (0, float("-inf")))
        return expires_ms > self._env.now_ms()

    def held_tokens(self) -> int:
        """Returns the tokens of memory that are reserved now."""
        now_ms = self._env.now_ms()
        return sum(
            each[0] for each in self.reservations.values() if each[1] > now_ms
        )

    async def _run(
        self, incoming: message.IncomingRequest, work: Work
    ) -> message.Response:
        fields = incoming.headers
        after_text = fields.get("last-event-id", "") or "0"
        if "x-attempt-id" not in fields or not _EVENT_ID.fullmatch(after_text):
            return message.Response(400, {"X-Not-Executed": "1"}, b"")
        after = int(after_text)
        run = Run(
            fields["x-attempt-id"],
            self.name,
            fields.get("x-tenant-id", ""),
            after,
            self._env.now_ms(),
            incoming.body,
            asyncio.get_running_loop().time(),
            _parse_shared_parts(fields.get("x-prefix-hash", "")),
            fields.get("x-note", ""),
        )
        self.runs.append(run)
        work.began_s = run.at_s
        self.active_runs += 1
        try:
            return await self._answer_run(run, fields, work)
        except asyncio.CancelledError:
            self.ended_s[run.request_id] = asyncio.get_running_loop().time()
            raise
        finally:
            self.active_runs -= 1
            if self.engine is None:
                now_s = asyncio.get_running_loop().time()
                self.ended_s[run.request_id] = now_s

    async def _answer_run(
        self, run: Run, fields: Mapping[str, str], work: Work
    ) -> message.Response:
        headers = self._make_headers(run)
        if self.engine is None:
            return await self._answer_plain(run, headers)
        if run.resumed_after and self.faults.resumed_status:
            status = self.faults.resumed_status
            return message.Response(status, headers, b"whole")
        usage = fields.get("x-token-usage", "")
        if not _USAGE.fullmatch(usage):
            return message.Response(400, {"X-Not-Executed": "1"}, b"")
        prompt, output = map(int, usage.split(","))
        if self._draw(self.faults.lose):
            return message.Response(200, headers, self._abort(run))
        helped = self._begin_helped_run(run, fields.get("helpers", ""), work)
        if self.faults.stream_preamble:
            return message.Response(
                200,
                headers,
                self._stream_early(run, prompt, output, helped),
            )
        if not await self._prefill_while_reserved(prompt, helped):
            return message.Response(200, headers, self._abort(run))
        if run.body in self.poison_bodies or (
            self.poison_delay_s is None and self._has_poison_part(run)
        ):
            self.crash()
        return message.Response(
            200, headers, self._stream_answer(run, prompt, output, helped)
        )

    async def _crash_after_event(self, run: Run) -> None:
        """Crashes some time after the first event if a part does that."""
        if self.poison_delay_s is None or not self._has_poison_part(run):
            return
        await asyncio.sleep(self.poison_delay_s)
        self.crash()

    def _has_poison_part(self, run: Run) -> bool:
        return not self.poison_parts.isdisjoint(run.parts)

    def _make_headers(self, run: Run) -> dict[str, str]:
        answered_id = run.request_id
        if self._draw(self.faults.foreign):
            answered_id = "another"
        load = f"{self.active_runs},0,8"
        headers = {"X-Attempt-Id": answered_id, "X-Replica-Load": load}
        if not self._draw(self.faults.unsigned):
            headers[_SIGNATURE] = f"{self.name}.{run.request_id}"
        return headers

    async def _answer_plain(
        self, run: Run, headers: dict[str, str]
    ) -> message.Response:
        await asyncio.sleep(0.09 + self.faults.answer_delay_s)
        if self._draw(self.faults.lose):
            return message.Response(200, headers, self._abort(run))
        if self._draw(self.faults.fail):
            return message.Response(500, headers, b"failed")
        body = make_plain_body(run.request_id)
        if self._draw(self.faults.break_off):
            return message.Response(200, headers, self._abort(run, body[:5]))
        return message.Response(200, headers, body)

    def _begin_helped_run(self, run: Run, text: str, work: Work) -> HelpedRun:
        named = _parse_helpers(text)
        helpers = [self._peers[address] for address, _ in named]
        reservations = [
            (name, helper)
            for (_, name), helper in zip(named, helpers, strict=True)
            if name
        ]
        helped = HelpedRun(
            run.request_id,
            self.name,
            tuple(helpers),
            tuple(reservations),
            work,
        )
        if helpers:
            self.helped_runs.append(helped)
        for helper in helpers:
            helper.helped += 1
        return helped

    async def _prefill_while_reserved(
        self, prompt: int, helped: HelpedRun
    ) -> bool:
        """Reads a prompt; returns False if memory for it lapses before."""
        if not helped.reservations:
            await self._prefill(prompt, helped)
            return True
        prefill = asyncio.ensure_future(self._prefill(prompt, helped))
        lapse = asyncio.ensure_future(helped.wait_for_lapse())
        is_read = False
        try:
            await asyncio.wait(
                {prefill, lapse}, return_when=asyncio.FIRST_COMPLETED
            )
            is_read = prefill.done() and not helped.has_lapsed()
        finally:
            if not is_read:
                helped.ended_s = asyncio.get_running_loop().time()
            prefill.cancel()
            lapse.cancel()
        return is_read

    async def _prefill(self, prompt: int, helped: HelpedRun) -> None:
        others = [each.engine for each in helped.helpers]
        engines = [self.engine, *others]
        part_tokens = prompt / len(engines)
        await asyncio.gather(
            *(
                each.prefill(part_tokens, prompt, helped.work.note_read)
                for each in engines
            )
        )

    async def _stream_early(
        self, run: Run, prompt: int, output: int, helped: HelpedRun
    ) -> AsyncIterator[bytes]:
        """Begins the stream before the prompt is processed."""
        yield self.faults.stream_preamble
        if not await self._prefill_while_reserved(prompt, helped):
            self.broken_off.add(run.request_id)
            raise ConnectionResetError("memory has lapsed")
        async for event in self._stream_answer(run, prompt, output, helped):
            yield event

    async def _stream_answer(
        self, run: Run, prompt: int, output: int, helped: HelpedRun
    ) -> AsyncIterator[bytes]:
        try:
            async with contextlib.aclosing(
                self._make_events(run, prompt, output)
            ) as events:
                async for event in events:
                    if helped.has_lapsed():
                        raise ConnectionResetError("memory has lapsed")
                    helped.has_begun = True
                    yield event
        except ConnectionResetError:
            self.broken_off.add(run.request_id)
            raise
        finally:
            helped.ended_s = asyncio.get_running_loop().time()
            self.ended_s[run.request_id] = helped.ended_s

    async def _make_events(
        self, run: Run, prompt: int, output: int
    ) -> AsyncIterator[bytes]:
        events = count_events(output)
        reset_number = -1
        if self._draw(self.faults.break_off):
            reset_number = self._env.random.randrange(1, events + 1)
        async with self.engine.get_slots():
            stream = self.engine.start_stream(prompt)
            with contextlib.ExitStack() as stack:
                stack.callback(self.engine.stop_stream, stream)
                first = run.resumed_after + 1
                for number in range(first, events + 1):
                    # The first token comes with the end of the prefill.
                    if number > first:
                        await stream.events.get()
                    if self.faults.silent_s and number == first + 3:
                        await asyncio.sleep(self.faults.silent_s)
                    event = make_event(run.request_id, number)
                    if self.faults.event_id_suffix:
                        event = _add_id_suffix(
                            event, self.faults.event_id_suffix
                        )
                    if number == reset_number:
                        yield event[: len(event) // 2]
                        raise ConnectionResetError(
                            "the replica resets the connection"
                        )
                    yield event
                    if number == first:
                        await self._crash_after_event(run)

    async def _abort(self, run: Run, part: bytes = b"") -> AsyncIterator[bytes]:
        self.broken_off.add(run.request_id)
        if part:
            yield part
        raise ConnectionResetError("the replica resets the connection")

    def _draw(self, probability: float) -> bool:
        return probability > 0.0 and self._env.random.random() < probability


def _add_id_suffix(event: bytes, suffix: str) -> bytes:
    first, _, rest = event.partition(b"\n")
    return first + suffix.encode("latin-1") + b"\n" + rest


_EVENT_ID = re.compile(r"\d{1,9}", re.ASCII)
_USAGE = re.compile(r"\d{1,9},\d{1,9}", re.ASCII)


def _parse_seconds(text: str) -> float:
    """Returns a time that is a decimal number; 0 for anything else."""
    is_number = text.replace(".", "", 1).isdecimal()
    return float(text) if is_number else 0.0


def _parse_shared_parts(text: str) -> tuple[str, ...]:
    """Returns the names of the parts of a prompt, without the last."""
    return tuple(part.partition(":")[0] for part in text.split(",")[:-1])


def _parse_helpers(helpers: str) -> list[tuple[str, str]]:
    """Returns the addresses of helpers and their reservations, or empty."""
    parts = [each.partition("/") for each in helpers.split(",") if each]
    return [(address, name) for address, _, name in parts]


def count_events(output_tokens: int) -> int:
    """Returns the number of events of an answer of that many tokens."""
    return max(1, -(-output_tokens // _TOKENS_PER_EVENT))


def make_event(request_id: str, number: int) -> bytes:
    """Returns one event of the answer to a request."""
    return f"id: {number}\ndata: {request_id} {number}\n\n".encode()


def make_plain_body(request_id: str) -> bytes:
    """Returns the body of the plain service's answer to a request."""
    return f"answer to {request_id}".encode()


async def _follow(
    work: Work, body: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    """Records how a streamed answer ends."""
    loop = asyncio.get_running_loop()
    try:
        async with contextlib.aclosing(body) as chunks:
            async for chunk in chunks:
                yield chunk
    except ConnectionResetError:
        work.broke_off_s = loop.time()
        raise
    finally:
        work.ended_s = loop.time()
