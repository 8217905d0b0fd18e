"""Measures how fast a fleet hears that a target leaves, and what that takes.

Only the exchange of digests runs, in virtual time: one VM has heard it in an
answer. A fifth of the others start anew meanwhile. What peers have lost goes
the same way. Run it with `python -m standins.leaving_spread`.
"""

import asyncio

import loguru

from standins import peer_fleet
from standins import virtual_process

_SIZES = (9, 80, 195)
_SETTLE_S = 4.0
_PLAY_S = 6.0
# VMs that start anew, one in so many; half a second after it was first told.
_RESTARTED_EACH = 5
_RESTART_S = 0.5
_WORD = "i-0123456789@1700000000000"


async def _play(size: int) -> str:
    fleet = peer_fleet.PeerFleet(size, ("vm-1", "vm-2", "vm-3"))
    await asyncio.sleep(_SETTLE_S)
    loop = asyncio.get_running_loop()
    sent_bytes = sum(each.sent_bytes for each in fleet.members.values())
    began_s = loop.time()
    fleet.announce_draining("vm-0", _WORD)
    await asyncio.sleep(_RESTART_S)
    first_ms = _find_last_ms(fleet, fleet.members, began_s)
    again = [f"vm-{n}" for n in range(4, size, _RESTARTED_EACH)]
    for name in again:
        hall = fleet.members[name].process.hall
        fleet.kill(name)
        fleet.start(name, hall)
    restarted_s = loop.time()
    await asyncio.sleep(_PLAY_S)
    again_ms = _find_last_ms(fleet, again, restarted_s)
    sent_bytes = sum(e.sent_bytes for e in fleet.members.values()) - sent_bytes
    rate = sent_bytes / size / (_PLAY_S + _RESTART_S)
    return (
        f"{size:4d} VMs: last knew after {first_ms:.0f} ms; of {len(again)} "
        f"that started anew the last after {again_ms:.0f} ms; "
        f"{rate:.0f} bytes/s a VM in all"
    )


def _find_last_ms(
    fleet: peer_fleet.PeerFleet, names: object, since_s: float
) -> float:
    """Returns when the last of some VMs was told; infinity if one was not."""
    heard = [
        fleet.members[name].received_at_s.get(_WORD, float("inf"))
        for name in names
        if name != "vm-0"
    ]
    return (max(heard) - since_s) * 1_000.0


def main() -> None:
    """Prints a row for each size."""
    loguru.logger.remove()
    for size in _SIZES:
        row = virtual_process.run(lambda size=size: _play(size))
        print(row, flush=True)


if __name__ == "__main__":
    main()
