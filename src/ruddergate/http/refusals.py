"""Refusals of requests before they are handled."""

import asyncio
import dataclasses
import math

import h11
import orjson

from ruddergate.http import body_memory
from ruddergate.http import connections
from ruddergate.http import message

# When callers may come again; other VMs may serve them before.
_MEMORY_RETRY_S = 1.0
_PLACE_RETRY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A request that is refused before it is handled.

    Attributes:
        status: Status of the response.
        detail: What is wrong.
        reason: Machine-readable reason.
        retry_after_s: When the caller may try again; None to say nothing.
        is_partial: Whether bytes of the request may still arrive.
    """

    status: int
    detail: str
    reason: str = "bad_request"
    retry_after_s: float | None = None
    is_partial: bool = False


def make_no_memory(
    memory: body_memory.BodyMemory, body: body_memory.Body
) -> Refusal:
    """Returns the refusal of a request whose body was dropped."""
    return Refusal(
        503,
        "the bodies of all requests take too much memory",
        "no_request_memory",
        memory.find_wait_s(body.held_bytes),
        is_partial=True,
    )


def make_ended(cause: connections.Cause) -> Refusal:
    """Returns the refusal of a request whose connection is ended."""
    if cause is connections.Cause.PLACE:
        return Refusal(
            503,
            "too many connections",
            "too_many_connections",
            _PLACE_RETRY_S,
        )
    return Refusal(
        503,
        "what callers send takes too much memory",
        "no_connection_memory",
        _MEMORY_RETRY_S,
        is_partial=True,
    )


def make_too_long() -> Refusal:
    """Returns the refusal of a request whose body is too long."""
    return Refusal(413, "the body is too long", is_partial=True)


async def reject(writer: asyncio.StreamWriter, refusal: Refusal) -> None:
    """Writes the response of a refusal, which closes the connection."""
    connection = h11.Connection(h11.SERVER)
    body = orjson.dumps(
        {"reason": refusal.reason, "ran": "not_run", "detail": refusal.detail}
    )
    headers = [
        ("content-type", message.JSON_TYPE),
        ("content-length", str(len(body))),
        ("connection", "close"),
    ]
    if refusal.retry_after_s is not None:
        seconds = math.ceil(refusal.retry_after_s)
        headers.append(("retry-after", str(seconds)))
    head = h11.Response(status_code=refusal.status, headers=headers)
    sent = connection.send(head) + connection.send(h11.Data(data=body))
    writer.write(sent + connection.send(h11.EndOfMessage()))
    await writer.drain()
