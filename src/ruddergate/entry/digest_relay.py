"""Forwards digests between VMs of a large fleet, see decisions/peer_groups.py.

Digests received since the last time are bundled into few datagrams. Members of
this VM's group get all of them, relays of other groups only those that members
have sent.
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

# A digest is forwarded after this time, with others that arrive meanwhile.
BATCH_DELAY_MS = 3.0
# Shortest time between two forwards: a receiver's cost depends on the number of
# datagrams more than on the number of digests.
FORWARD_INTERVAL_MS = 20.0
# The interval grows by this much per VM of the fleet, up to a maximum, so that
# the traffic to a VM does not grow with the fleet. Loads then arrive later, but
# a larger fleet also spreads them over more targets.
FORWARD_INTERVAL_PER_VM_MS = 0.25
MAX_FORWARD_INTERVAL_MS = 100.0
# Digests per datagram; with two rows each they take about 2 KB.
MAX_BUNDLE_DIGESTS = 24


class DigestRelay:
    """Digests to forward, the latest of each VM; owned by one task.

    Args:
        env: Clock and random numbers.
        own: Where this VM receives datagrams.
        loads: Known VMs, their groups and the relays of these.
        send: Sends a message to VMs.
    """

    def __init__(
        self,
        env: environment.Environment,
        own: str,
        loads: peer_loads.PeerLoads,
        send: Callable[[load_bundle.LoadBundle, Iterable[str]], None],
    ) -> None:
        self._env = env
        self._own = own
        self._loads = loads
        self._send = send
        self._from_members: dict[str, load_digest.LoadDigest] = {}
        self._from_relays: dict[str, load_digest.LoadDigest] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._due_ms = 0.0
        self._forwarded_ms = float("-inf")

    def add_from_member(self, digest: load_digest.LoadDigest) -> None:
        """Queues a digest that a VM of this group has sent."""
        self._from_members[digest.sender] = digest
        self._schedule(_is_urgent(digest))

    def add_from_relay(self, digest: load_digest.LoadDigest) -> None:
        """Queues a digest that the relay of another group has sent."""
        self._from_relays[digest.sender] = digest
        self._schedule(_is_urgent(digest))

    def _schedule(self, is_urgent: bool) -> None:
        """Schedules forwarding, sooner if a digest is urgent."""
        due_ms = self._find_due_ms(is_urgent)
        if self._timer is not None:
            if due_ms >= self._due_ms:
                return
            self._timer.cancel()
        self._due_ms = due_ms
        delay_ms = max(0.0, due_ms - self._env.now_ms())
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_ms / 1000.0, self._forward)

    def _find_due_ms(self, is_urgent: bool) -> float:
        interval_ms = FORWARD_INTERVAL_MS
        if not is_urgent:
            interval_ms = max(
                interval_ms, FORWARD_INTERVAL_PER_VM_MS * len(self._loads)
            )
        interval_ms = min(interval_ms, MAX_FORWARD_INTERVAL_MS)
        return max(
            self._env.now_ms() + BATCH_DELAY_MS,
            self._forwarded_ms + interval_ms,
        )

    def _forward(self) -> None:
        """Sends all digests to the group, and its members' to other groups."""
        self._timer = None
        now_ms = self._forwarded_ms = self._env.now_ms()
        from_members = tuple(self._from_members.values())
        queued = (*from_members, *self._from_relays.values())
        self._from_members.clear()
        self._from_relays.clear()
        self._send_bundles(queued, False, self._loads.list_group_members())
        if from_members:
            rng = self._env.random
            relays = self._loads.find_other_relays(now_ms, rng)
            self._send_bundles(from_members, True, relays)

    def _send_bundles(
        self,
        digests: Sequence[load_digest.LoadDigest],
        for_group: bool,
        receivers: Iterable[str],
    ) -> None:
        for begin in range(0, len(digests), MAX_BUNDLE_DIGESTS):
            batch = tuple(digests[begin : begin + MAX_BUNDLE_DIGESTS])
            bundle = load_bundle.LoadBundle(self._own, for_group, batch)
            self._send(bundle, receivers)


def _is_urgent(digest: load_digest.LoadDigest) -> bool:
    """Returns whether a digest contains more than its VM's load."""
    return bool(digest.draining) or digest.losses != loss_report.EMPTY
