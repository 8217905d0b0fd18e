"""Disruptions of the store, and of the gateways that read it.

Each is a function of a run of `standins.propagation`.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import signal
from typing import TYPE_CHECKING
from typing import TypeAlias

import orjson

from standins import gateway_cluster

if TYPE_CHECKING:
    from standins import propagation

Disruption: TypeAlias = Callable[["propagation.Run"], Awaitable[None]]

# Enough for settings of 320 KB.
_IDLE_ROUTES = 900
# Each VM has polled the store by then.
_POLL_S = 2.0
_ALL = (0, 1, 2, 3)


async def _play_nothing(run: "propagation.Run") -> None:
    pass


async def _storm(run: "propagation.Run") -> None:
    """Publishes large settings faster than VMs read them."""
    run.changes["routes"] = [
        *gateway_cluster.make_configuration(run.keys, 1)["routes"],
        *gateway_cluster.make_idle_routes(_IDLE_ROUTES),
    ]
    run.store.values_bytes_max = 1_000_000
    for _ in range(24):
        run.publish()
        await asyncio.sleep(0.06)


async def _publish_singly(run: "propagation.Run") -> None:
    """Publishes many settings; a response holds one of them."""
    run.store.watch_events_max = 1
    for _ in range(60):
        run.publish()
        await asyncio.sleep(0.05)


def _make_entry(**fields: object) -> dict[str, object]:
    return {
        "service": "notices",
        "address": "127.0.0.1:9",
        "zone": "hall-0",
        "slots": 8,
        "state": "draining",
        "sequence": 1,
        **fields,
    }


def _put_nested(field: str, depth: int) -> Disruption:
    """Lists an entry with a nested value in one field."""

    async def play(run: "propagation.Run") -> None:
        entry = orjson.dumps(_make_entry(**{field: "@"}))
        value = entry.replace(b'"@"', b"[" * depth + b"]" * depth)
        run.store.put_bytes("servers/odd", value)
        await asyncio.sleep(_POLL_S)

    return play


def _put_fields(**fields: object) -> Disruption:
    """Lists an entry with odd fields."""

    async def play(run: "propagation.Run") -> None:
        run.store.put("servers/odd", _make_entry(**fields))
        await asyncio.sleep(_POLL_S)

    return play


async def _nest_settings(run: "propagation.Run") -> None:
    """Publishes settings with a nested field that nobody reads."""
    run.unread_depth = 990
    for _ in range(3):
        run.publish()
        await asyncio.sleep(1.5)


def _suspend(number: int, for_s: float) -> Disruption:
    async def play(run: "propagation.Run") -> None:
        run.send_signal(number, signal.SIGSTOP)
        asyncio.get_running_loop().call_later(
            for_s, run.send_signal, number, signal.SIGCONT
        )
        await asyncio.sleep(0.3)

    return play


def _kill(number: int) -> Disruption:
    async def play(run: "propagation.Run") -> None:
        run.send_signal(number, signal.SIGKILL)
        await asyncio.sleep(0.1)

    return play


def _fail_calls(how: str, share: float, vms: tuple[int, ...]) -> Disruption:
    """Fails a share of the calls that some VMs make to the store."""

    async def play(run: "propagation.Run") -> None:
        for number in vms:
            run.vms[number].find_failure = lambda: (
                how if run.rng.random() < share else ""
            )
        await asyncio.sleep(_POLL_S)

    return play


BY_NAME: Mapping[str, Disruption] = {
    "none": _play_nothing,
    "storm": _storm,
    "drip": _publish_singly,
    "deep-slots-400": _put_nested("slots", 400),
    "deep-slots-1000": _put_nested("slots", 1_000),
    "deep-state-1000": _put_nested("state", 1_000),
    "deep-unread-1000": _put_nested("note", 1_000),
    "deep-settings": _nest_settings,
    "born-2-64": _put_fields(born=2**64 - 1),
    "sequence-2-64": _put_fields(sequence=2**64 - 1),
    "slots-2-63": _put_fields(slots=2**63, state="ready"),
    "port-70000": _put_fields(address="127.0.0.1:70000"),
    "suspend-reader": _suspend(0, 7.0),
    "suspend-0.5": _suspend(0, 0.5),
    "kill-reader": _kill(0),
    "silent-third": _fail_calls("silent-short", 1 / 3, _ALL),
    "silent-one": _fail_calls("silent-short", 1.0, (0,)),
    "silent-hall": _fail_calls("silent-short", 1.0, (0, 1)),
    "busy-third": _fail_calls("busy", 1 / 3, _ALL),
    "reset-third": _fail_calls("reset", 1 / 3, _ALL),
    "busy-one": _fail_calls("busy", 1.0, (0,)),
    "busy-hall": _fail_calls("busy", 1.0, (0, 1)),
    "reset-hall": _fail_calls("reset", 1.0, (0, 1)),
    "lost-third": _fail_calls("lost", 1 / 3, _ALL),
}
