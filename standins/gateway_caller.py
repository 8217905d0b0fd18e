"""A caller that sends requests to gateways and records the responses."""

import asyncio
from collections.abc import Mapping
import dataclasses

import h11

from ruddergate import environment
from ruddergate.http import client
from ruddergate.http import message
from standins import gateway_cluster
from standins import virtual_process

# Length of each part of a prompt but the last.
_PART_TOKENS = 40


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One call, as one attempt of a caller.

    Attributes:
        request_id: Id of the attempt.
        route: Name of the route.
        vm: The gateway that the call is sent to.
        prompt_tokens: Length of the prompt; 0 for a service call.
        output_tokens: Maximum tokens of the answer.
        key: The caller's API key.
        time_limit_ms: Deadline that the caller sends.
        disconnects_after_ms: When the caller closes the connection; None to
            wait for the answer.
        body: Request body.
        parts: Names of the parts of the prompt that requests share.
        resume_after: Id of the last event that the caller has, or empty.
        headers: Further headers, or other values of those above.
    """

    request_id: str
    route: str
    vm: str
    prompt_tokens: int = 0
    output_tokens: int = 0
    key: str = gateway_cluster.KEY
    time_limit_ms: float = 10_000.0
    disconnects_after_ms: float | None = None
    body: bytes = b"prompt"
    parts: tuple[str, ...] = ("aa",)
    resume_after: str = ""
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class CallResult:
    """What the caller received.

    Attributes:
        call: The call.
        status: HTTP status; 0 without an answer.
        headers: Headers of the answer.
        body: The part of the body that was received.
        is_complete: Whether the answer ended properly.
        sent_s: When the call was sent, on the loop's clock.
        first_ms: Time to the first byte of the body; None without any.
        took_ms: Time to the end.
        written_ms: Time until the whole request was written to a connection;
            None if it never was.
    """

    call: Call
    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool
    sent_s: float
    first_ms: float | None
    took_ms: float
    written_ms: float | None = None


class Caller:
    """Sends calls from outside the halls."""

    def __init__(self, cluster: gateway_cluster.GatewayCluster) -> None:
        self._process = virtual_process.VirtualProcess("caller", "")
        self._env = cluster.network.make_environment(self._process, 1)

    async def send(self, call: Call) -> CallResult:
        """Sends a call and reads its answer to the end."""
        return await self._process.start(lambda: self._send(call))

    async def check_ready(self, vm: str) -> int:
        """Returns the status of a VM's readiness check; 0 for no answer."""
        return await self._process.start(lambda: self._check_ready(vm))

    async def _check_ready(self, vm: str) -> int:
        address = environment.Address(vm, gateway_cluster.READY_PORT)
        request = client.make_json_request("GET", "/api/ready")
        answer = await client.fetch(self._env, address, request, 1_000.0)
        return 0 if isinstance(answer, client.Fault) else answer.status

    async def _send(self, call: Call) -> CallResult:
        sent_s = asyncio.get_running_loop().time()
        start_ms = self._env.now_ms()
        limit_ms = call.disconnects_after_ms or call.time_limit_ms + 1_000.0
        parts: list[bytes] = []
        state = [0, {}, False, None, None]
        try:
            async with asyncio.timeout(limit_ms / 1000.0):
                await self._read(call, parts, state, start_ms)
        except TimeoutError:
            pass
        status, headers, is_complete, first_ms, written_ms = state
        took_ms = self._env.now_ms() - start_ms
        return CallResult(
            call,
            status,
            headers,
            b"".join(parts),
            is_complete,
            sent_s,
            first_ms,
            took_ms,
            written_ms,
        )

    async def _read(
        self, call: Call, parts: list[bytes], state: list, start_ms: float
    ) -> None:
        address = environment.Address(call.vm, gateway_cluster.FRONT_PORT)
        exchange = await client.start(
            self._env, address, make_request(call), 1_000.0
        )
        if isinstance(exchange, client.Fault):
            return
        state[4] = self._env.now_ms() - start_ms
        try:
            fault = await exchange.read_head()
            if fault is not None:
                return
            state[0], state[1] = exchange.status, exchange.headers
            while True:
                part = await exchange.read_chunk()
                if isinstance(part, client.Fault):
                    return
                if not part:
                    state[2] = True
                    return
                if state[3] is None:
                    state[3] = self._env.now_ms() - start_ms
                parts.append(part)
        except (OSError, h11.ProtocolError):
            return
        finally:
            exchange.close()


def make_request(call: Call) -> message.OutgoingRequest:
    """Returns the HTTP request of a call."""
    headers = {
        "x-attempt-id": call.request_id,
        "x-deadline-ms": str(int(call.time_limit_ms)),
        "x-api-key": call.key,
        # Only gateways may set this; a caller's value must not get through.
        "x-tenant-id": "somebody-else",
    }
    if call.prompt_tokens:
        headers["x-model"] = "m"
        headers["x-token-usage"] = f"{call.prompt_tokens},{call.output_tokens}"
        own_tokens = call.prompt_tokens - _PART_TOKENS * len(call.parts)
        parts = [f"{name}:{_PART_TOKENS}" for name in call.parts]
        headers["x-prefix-hash"] = ",".join([*parts, f"bb:{own_tokens}"])
    if call.resume_after:
        headers["last-event-id"] = call.resume_after
    headers |= call.headers
    return message.OutgoingRequest(
        "POST",
        f"/{call.route}/x",
        headers,
        call.body,
        gateway_cluster.HOST,
    )
