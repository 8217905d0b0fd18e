"""Measures how fast a fleet learns that a target is draining, and the traffic.

Only the gossip of digests runs, in virtual time: one VM has learned of it from
an answer. A fifth of the others restart meanwhile. Reported losses of peers
spread in the same way. Run it with `python -m standins.leaving_spread`.
"""

import asyncio

import loguru

from standins import peer_fleet
from standins import virtual_process

_SIZES = (9, 80, 195)
_SETTLE_S = 4.0
_RUN_S = 6.0
# One VM in five restarts, half a second after the first gossip.
_RESTART_EVERY = 5
_RESTART_S = 0.5
_INCARNATION = "i-0123456789@1700000000000"


async def _run(size: int) -> str:
    fleet = peer_fleet.PeerFleet(size, ("vm-1", "vm-2", "vm-3"))
    await asyncio.sleep(_SETTLE_S)
    loop = asyncio.get_running_loop()
    sent_bytes = sum(each.sent_bytes for each in fleet.members.values())
    start_s = loop.time()
    fleet.announce_draining("vm-0", _INCARNATION)
    await asyncio.sleep(_RESTART_S)
    first_ms = _find_last_ms(fleet, fleet.members, start_s)
    restarted = [f"vm-{n}" for n in range(4, size, _RESTART_EVERY)]
    for name in restarted:
        hall = fleet.members[name].process.hall
        fleet.kill(name)
        fleet.start(name, hall)
    restarted_s = loop.time()
    await asyncio.sleep(_RUN_S)
    restarted_ms = _find_last_ms(fleet, restarted, restarted_s)
    sent_bytes = sum(e.sent_bytes for e in fleet.members.values()) - sent_bytes
    rate = sent_bytes / size / (_RUN_S + _RESTART_S)
    return (
        f"{size:4d} VMs: last knew after {first_ms:.0f} ms; "
        f"last of {len(restarted)} restarted VMs after {restarted_ms:.0f} ms; "
        f"{rate:.0f} bytes/s a VM in total"
    )


def _find_last_ms(
    fleet: peer_fleet.PeerFleet, names: object, since_s: float
) -> float:
    """Returns when the last of some VMs learned of it; infinity for never."""
    received_s = [
        fleet.members[name].received_at_s.get(_INCARNATION, float("inf"))
        for name in names
        if name != "vm-0"
    ]
    return (max(received_s) - since_s) * 1_000.0


def main() -> None:
    """Prints a row for each size."""
    loguru.logger.remove()
    for size in _SIZES:
        row = virtual_process.run(lambda size=size: _run(size))
        print(row, flush=True)


if __name__ == "__main__":
    main()
