"""Passes digests on for VMs of a large fleet, see decisions/peer_groups.py.

What came since the last time goes into few datagrams: to the members of this
VM's group all of it, to the relays of other groups what members sent.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence

from ruddergate import environment
from ruddergate.decisions import peer_loads
from ruddergate.fleet import loss_report
from ruddergate.messages import load_bundle
from ruddergate.messages import load_digest

# A relay passes digests on after this time, with others that come meanwhile.
GATHER_MS = 3.0
# And no sooner than so long after the last time: a receiver's cost goes by
# datagrams more than by digests.
PASS_GAP_MS = 20.0
# For each VM of the fleet it waits so much longer, up to the most, so that what
# a VM hears does not grow with the fleet. Work of others is told that much
# later then, but there are the more targets on which it may be.
PASS_GAP_A_VM_MS = 0.25
PASS_GAP_MOST_MS = 100.0
# Digests that go into one datagram; with two rows each they take about 2 KB.
BUNDLE_MOST = 24


class DigestRelay:
    """Digests to be passed on, the newest of each VM; owned by one task.

    Args:
        outside: Clock and chance.
        own: Where this VM takes datagrams.
        loads: Knows the groups and their relays.
        send: Sends a message to VMs.
    """

    def __init__(
        self,
        outside: environment.Environment,
        own: str,
        loads: peer_loads.PeerLoads,
        send: Callable[[load_bundle.LoadBundle, Iterable[str]], None],
    ) -> None:
        self._outside = outside
        self._own = own
        self._loads = loads
        self._send = send
        self._from_members: dict[str, load_digest.LoadDigest] = {}
        self._from_relays: dict[str, load_digest.LoadDigest] = {}
        self._passing: asyncio.TimerHandle | None = None
        self._due_ms = 0.0
        self._passed_ms = float("-inf")

    def add_member(self, digest: load_digest.LoadDigest) -> None:
        """Has a digest passed on that a VM of this group has sent."""
        self._from_members[digest.sender] = digest
        self._pass_on_soon(_is_urgent(digest))

    def add_other(self, digest: load_digest.LoadDigest) -> None:
        """Has a digest passed on that the relay of another group has sent."""
        self._from_relays[digest.sender] = digest
        self._pass_on_soon(_is_urgent(digest))

    def _pass_on_soon(self, is_urgent: bool) -> None:
        """Passes on after a pause, which is shorter for what is urgent."""
        due_ms = self._find_due_ms(is_urgent)
        if self._passing is not None:
            if due_ms >= self._due_ms:
                return
            self._passing.cancel()
        self._due_ms = due_ms
        pause_ms = max(0.0, due_ms - self._outside.now_ms())
        loop = asyncio.get_running_loop()
        self._passing = loop.call_later(pause_ms / 1000.0, self._pass_on)

    def _find_due_ms(self, is_urgent: bool) -> float:
        gap_ms = PASS_GAP_MS
        if not is_urgent:
            gap_ms = max(gap_ms, PASS_GAP_A_VM_MS * len(self._loads))
        gap_ms = min(gap_ms, PASS_GAP_MOST_MS)
        return max(self._outside.now_ms() + GATHER_MS, self._passed_ms + gap_ms)

    def _pass_on(self) -> None:
        """Sends gathered digests to the group, and its own to other groups."""
        self._passing = None
        now_ms = self._passed_ms = self._outside.now_ms()
        own = tuple(self._from_members.values())
        all_ = (*own, *self._from_relays.values())
        self._from_members.clear()
        self._from_relays.clear()
        self._send_bundles(all_, False, self._loads.find_members())
        if own:
            chance = self._outside.random
            relays = self._loads.find_other_relays(now_ms, chance)
            self._send_bundles(own, True, relays)

    def _send_bundles(
        self,
        digests: Sequence[load_digest.LoadDigest],
        for_group: bool,
        receivers: Iterable[str],
    ) -> None:
        for begin in range(0, len(digests), BUNDLE_MOST):
            part = tuple(digests[begin : begin + BUNDLE_MOST])
            bundle = load_bundle.LoadBundle(self._own, for_group, part)
            self._send(bundle, receivers)


def _is_urgent(digest: load_digest.LoadDigest) -> bool:
    """Returns whether a digest tells more than its VM's load."""
    return bool(digest.draining) or digest.losses != loss_report.EMPTY
