"""Tickets, which guarantee at most one run even across network partitions.

A ticket names the incarnation that issued it, and only that process can run
the request. If it has ended, nobody runs it.
"""

import dataclasses
import hashlib
import hmac
import random

from ruddergate import environment

_MAC_DIGITS = 24
_FIELDS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A ticket's fields.

    Attributes:
        vm_id: VM that issued it.
        incarnation: Incarnation of the entry that issued it.
        issued_ms: Monotonic time of issue on that VM.
        name: Random name.
        mac: Message authentication code, which shows that it was issued.
    """

    vm_id: str
    incarnation: str
    issued_ms: int
    name: str
    mac: str


def issue(
    key: bytes,
    vm_id: str,
    incarnation: str,
    workspace: str,
    now_ms: float,
    rng: random.Random,
) -> str:
    """Returns a new ticket as text; no other workspace can use it."""
    name = environment.make_random_id(rng, 16)
    body = f"{vm_id}~{incarnation}~{int(now_ms)}~{name}"
    return f"{body}~{_sign(key, workspace, body)}"


def parse(text: str, key: bytes, workspace: str) -> Ticket | None:
    """Returns the fields of a ticket, or None if its MAC is not valid."""
    fields = text.split("~")
    if len(fields) != _FIELDS or not fields[2].isdigit():
        return None
    body = "~".join(fields[:-1])
    expected = _sign(key, workspace, body)
    if not hmac.compare_digest(expected.encode(), fields[-1].encode()):
        return None
    return Ticket(fields[0], fields[1], int(fields[2]), fields[3], fields[4])


def _sign(key: bytes, workspace: str, body: str) -> str:
    signed = f"ticket {workspace}\x00{body}".encode()
    mac = hmac.new(key, signed, hashlib.sha256)
    return mac.hexdigest()[:_MAC_DIGITS]
