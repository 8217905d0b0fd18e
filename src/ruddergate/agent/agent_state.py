"""State of one agent, all in memory and rebuilt after a restart."""

import asyncio
import itertools

from ruddergate import environment
from ruddergate.agent import config as configs
from ruddergate.decisions import adoption
from ruddergate.decisions import membership
from ruddergate.decisions import rendezvous
from ruddergate.fleet import dispatched
from ruddergate.fleet import listing as listings
from ruddergate.fleet import vm as vms
from ruddergate.messages import gossip

_NEVER = float("-inf")
# Agents of a hall that read the platform for all others.
_WATCHERS_PER_HALL = 2
_PEER_LOAD_MAX_AGE_MS = 4_000.0


class AgentState:
    """State of one agent, shared by its tasks.

    Attributes:
        in_force: Settings in force.
        tree_since_ms: Time at which they came into force here.
        listing: The published list of VMs and targets.
        members: Other VMs, as known from gossip.
        answered_peers: VMs that have answered this incarnation.
        seen_halls: Every hall ever seen in the list.
        incarnation: Incarnation of this agent; a later one is higher.
        own_dispatched: Work that this VM's entry has dispatched to targets.
        is_stopping: Whether the entry is in a planned stop.
        changed: Set whenever the settings or the list have changed.
    """

    def __init__(
        self, env: environment.Environment, config: configs.AgentConfig
    ) -> None:
        self.in_force = adoption.NOTHING
        self.tree_since_ms = _NEVER
        self.listing = listings.EMPTY
        self.members = membership.Members(config.vm_id, config.hall)
        self.answered_peers: set[str] = set()
        self.seen_halls: set[str] = set()
        self.incarnation = int(env.wall_ms())
        self.own_dispatched: tuple[dispatched.Dispatched, ...] = ()
        self.is_stopping = False
        self.changed = asyncio.Event()
        self._env = env
        self._config = config
        self._heartbeat = 0
        self._listing_confirmed_ms = _NEVER
        self._settled_since_ms = env.now_ms()
        self._service_answered_ms = _NEVER
        self._hall_service_answered_ms = _NEVER
        self._peer_loads: dict[
            str, tuple[float, tuple[dispatched.Dispatched, ...]]
        ] = {}

    def adopt(self, found: adoption.InForce) -> bool:
        """Replaces the settings in force; returns whether they are newer."""
        newer = found.manifest.revision > self.in_force.manifest.revision
        refused = found.refused_revision > self.in_force.refused_revision
        self.in_force = found
        if newer:
            self.tree_since_ms = self._env.now_ms()
        if newer or refused:
            self.changed.set()
        return newer

    def merge_listing(self, offered: listings.Listing, age_ms: float) -> None:
        """Merges a list; an older one does not replace the current one.

        Args:
            offered: The list.
            age_ms: Time since the platform confirmed it.
        """
        now_ms = self._env.now_ms()
        before = self.listing
        self.listing = listings.merge(before, offered)
        if offered.version < before.version:
            return
        confirmed_ms = now_ms - age_ms
        self._listing_confirmed_ms = max(
            self._listing_confirmed_ms, confirmed_ms
        )
        if _vm_ids(before) != _vm_ids(self.listing):
            self._settled_since_ms = now_ms
        self.seen_halls |= {vm.hall for vm in self.listing.vms}
        self.members.forget_unlisted(self.listing, now_ms)
        if self.listing != before:
            self.changed.set()

    def confirm_listing(self, version: int, age_ms: float) -> None:
        """Records when a peer's list was confirmed, if it is the same version.

        Args:
            version: Version of the peer's list.
            age_ms: Time since the platform confirmed it.
        """
        if version == self.listing.version:
            confirmed_ms = self._env.now_ms() - age_ms
            self._listing_confirmed_ms = max(
                self._listing_confirmed_ms, confirmed_ms
            )

    def listing_age_ms(self) -> float:
        """Returns the time since the platform confirmed the list."""
        return self._env.now_ms() - self._listing_confirmed_ms

    def settled_ms(self) -> float:
        """Returns the time for which the listed VMs have been the same."""
        return self._env.now_ms() - self._settled_since_ms

    def note_service_answer(self) -> None:
        """Records a response of the configuration service to this agent."""
        self._service_answered_ms = self._env.now_ms()
        self._hall_service_answered_ms = self._service_answered_ms

    def service_age_ms(self) -> float:
        """Returns the time since the service last responded to this agent."""
        return self._env.now_ms() - self._service_answered_ms

    def hall_service_age_ms(self) -> float:
        """Returns the time since the service last responded to the hall."""
        return self._env.now_ms() - self._hall_service_answered_ms

    def make_own_row(self) -> gossip.MemberRow:
        """Returns a new row of this agent, with the next heartbeat."""
        self._heartbeat += 1
        return gossip.MemberRow(
            vm_id=self._config.vm_id,
            hall=self._config.hall,
            incarnation=self.incarnation,
            heartbeat=self._heartbeat,
            age_ms=0.0,
            draining=self.is_stopping,
            revision=self.in_force.manifest.revision,
            service_age_ms=min(self.service_age_ms(), 1e12),
        )

    def merge_digest(self, digest: gossip.Gossip) -> None:
        """Merges a peer's digest."""
        now_ms = self._env.now_ms()
        self.members.merge(digest.members, now_ms)
        self._peer_loads[digest.sender] = (now_ms, digest.dispatched)
        self.confirm_listing(digest.listing_version, digest.listing_age_ms)
        for row in digest.members:
            if row.hall == self._config.hall:
                answered_ms = now_ms - row.service_age_ms
                self._hall_service_answered_ms = max(
                    self._hall_service_answered_ms, answered_ms
                )
            is_own = row.vm_id == self._config.vm_id
            if is_own and row.incarnation > self.incarnation:
                # The clock was set back, so an earlier run has a higher
                # incarnation. This run must count as the later one.
                self.incarnation = row.incarnation + 1

    def peer_loads(self) -> tuple[dispatched.Dispatched, ...]:
        """Returns, for each target, the sum of other VMs' dispatched work."""
        now_ms = self._env.now_ms()
        total: dict[str, dispatched.Dispatched] = {}
        for received_ms, rows in self._peer_loads.values():
            if now_ms - received_ms <= _PEER_LOAD_MAX_AGE_MS:
                for row in rows:
                    total[row.target_id] = _add(total.get(row.target_id), row)
        return tuple(total[name] for name in sorted(total))

    def live_in_hall(self) -> list[str]:
        """Returns the listed VMs of the hall that are not suspected dead."""
        return membership.find_live(
            self.listing,
            self._config.hall,
            self._config.vm_id,
            self.members,
            self._env.now_ms(),
        )

    def is_watcher(self, subject: str) -> bool:
        """Returns whether this agent is one of its hall's watchers.

        Args:
            subject: What is watched, `settings` or `list`.
        """
        key = f"watch {subject} {self._config.hall}"
        live = set(self.live_in_hall()) | {self._config.vm_id}
        chosen = rendezvous.choose(key, live, _WATCHERS_PER_HALL)
        return self._config.vm_id in chosen

    def find_vm(self, vm_id: str) -> vms.Vm | None:
        """Returns the listed VM with an ID, or None."""
        for vm in self.listing.vms:
            if vm.vm_id == vm_id:
                return vm
        return None

    def peers(self, own_hall: bool) -> list[vms.Vm]:
        """Returns the other listed VMs, of this hall or of all other halls."""
        return [
            vm
            for vm in self.listing.vms
            if vm.vm_id != self._config.vm_id
            and (vm.hall == self._config.hall) == own_hall
        ]


def _vm_ids(listing: listings.Listing) -> set[str]:
    return {vm.vm_id for vm in listing.vms}


def _add(
    first: dispatched.Dispatched | None, second: dispatched.Dispatched
) -> dispatched.Dispatched:
    if first is None:
        return second
    return dispatched.Dispatched(
        first.target_id,
        tuple(
            sum(pair)
            for pair in itertools.zip_longest(
                first.pending_tokens, second.pending_tokens, fillvalue=0
            )
        ),
        first.held_tokens + second.held_tokens,
        first.streams + second.streams,
    )
