"""Gateways whose links to targets can be cut from outside, and a check of them.

`python -m standins.soak_links FILE PORTS FLAGS` runs ruddergate-gateway. While
FILE exists, connections to any but the named ports (the store's, and that for
peers) are refused or hang, as the file says. Open connections live on. FLAGS
may begin with `--without NAME`, see soak_ablations.
"""

import asyncio
import collections
from collections.abc import Sequence
from collections.abc import Set
import dataclasses
import pathlib
import sys

from ruddergate import environment
from ruddergate.cli import gateway
from standins import gateway_caller
from standins import platform_replica
from standins import soak_ablations
from standins import soak_draining

REFUSED = "refused"
HANGING = "hanging"
MODES = (REFUSED, HANGING)
_POLL_S = 0.05
# A gateway without links is to serve first tries like others after this time,
# and at least two thirds as often. Fewer calls say nothing.
_GRACE_S = 1.0
_MIN_SHARE = 2.0 / 3.0
_MIN_CALLS = 8
_TIMED_OUT = 504
_UNKNOWN_KEY = 401
_SETTINGS_REASONS = (b"settings_too_old", b"no_settings")
# Calls so close to an interruption of their gateway don't count.
_INTERRUPTED_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class LinkLoss:
    """Gateways that had no links to targets, from one time to another."""

    gateways: frozenset[int]
    from_s: float
    to_s: float


def find_violations(
    losses: Sequence[LinkLoss],
    interruptions: Sequence[soak_draining.Interruption],
    replicas: Sequence[platform_replica.PlatformReplica],
    all_responses: Sequence[tuple[int, gateway_caller.CallResult]],
    counts: collections.Counter[str],
) -> list[str]:
    """Returns cuts in which gateways without links served far less.

    Calls that ran out of time at a replica are no loss of a link and count as
    served: the replicas are slow, and their proxies hold bytes back. Calls that
    were refused for their key, or for want of fresh settings, don't count.

    Args:
        losses: Gateways that lost their links, and when.
        interruptions: Interruptions of gateways.
        replicas: All replicas.
        all_responses: Responses to callers, with the gateway that sent them.
        counts: Counters by name, to which the compared calls are added.
    """
    violations = []
    arrived = {
        arrival.request_id for each in replicas for arrival in each.arrivals
    }
    for loss in losses:
        from_s = loss.from_s + _GRACE_S
        during = [
            (number, _is_served(response, arrived))
            for number, response in all_responses
            if from_s < response.sent_s < loss.to_s
            and not _is_refused_by_settings(response)
            and not _was_interrupted(interruptions, number, response.sent_s)
        ]
        at_cut = [
            served for number, served in during if number in loss.gateways
        ]
        others = [
            served for number, served in during if number not in loss.gateways
        ]
        if min(len(at_cut), len(others)) < _MIN_CALLS:
            continue
        counts["calls at gateways without links"] += len(at_cut)
        counts["served at gateways without links"] += sum(at_cut)
        counts["calls beside them"] += len(others)
        counts["served beside them"] += sum(others)
        share = sum(others) / len(others)
        if sum(at_cut) < _MIN_SHARE * share * len(at_cut):
            violations.append(
                f"gateways without links served {sum(at_cut)} of {len(at_cut)},"
                f" the others {sum(others)} of {len(others)}"
            )
    return violations


def _was_interrupted(
    interruptions: Sequence[soak_draining.Interruption],
    gateway: int,
    at_s: float,
) -> bool:
    return any(
        each.gateway == gateway
        and -_INTERRUPTED_S < at_s - each.at_s < _INTERRUPTED_S
        for each in interruptions
    )


def _is_refused_by_settings(response: gateway_caller.CallResult) -> bool:
    """Returns whether a gateway refused a call for its key or its settings."""
    is_stale = any(reason in response.body for reason in _SETTINGS_REASONS)
    return response.status == _UNKNOWN_KEY or is_stale


def _is_served(response: gateway_caller.CallResult, arrived: Set[str]) -> bool:
    """Returns whether a call was served, or its caller or replica ended it."""
    if response.status == _TIMED_OUT:
        return response.call.request_id in arrived
    has_left = response.call.disconnects_after_ms is not None
    return has_left or (response.status == 200 and response.is_complete)


def _make_environment(
    file: pathlib.Path, kept_ports: frozenset[int]
) -> environment.Environment:
    env = _make_system_environment()

    async def connect(address: environment.Address) -> environment.StreamPair:
        while address.port not in kept_ports and file.exists():
            if _read_mode(file) == REFUSED:
                raise ConnectionRefusedError(f"cut off from {address}")
            await asyncio.sleep(_POLL_S)
        return await env.connect(address)

    return dataclasses.replace(env, connect=connect)


def _read_mode(file: pathlib.Path) -> str:
    """Returns what the file says, or empty if the cut has just ended."""
    try:
        return file.read_text()
    except FileNotFoundError:
        return ""


_make_system_environment = environment.make_system_environment


def main() -> None:
    """Runs a gateway."""
    file = pathlib.Path(sys.argv.pop(1))
    ports = frozenset(map(int, sys.argv.pop(1).split(",")))
    environment.make_system_environment = lambda: _make_environment(file, ports)
    if sys.argv[1] == "--without":
        del sys.argv[1]
        soak_ablations.apply(sys.argv.pop(1))
    gateway.run()


if __name__ == "__main__":
    main()
