"""The store of a soak: replica heartbeats, drains, outages and restores."""

import asyncio
import collections
import random
import time

from standins import gateway_cluster
from standins import platform_replica
from standins import platform_store

READY = "ready"
DRAINING = "draining"
REMOVED = ""
# Replicas and operators write lost entries again within this time after a
# restore.
_REWRITE_S = 0.5
_SNAPSHOT_INTERVAL_S = 0.5
_MAX_SNAPSHOTS = 10
REMOVED_KEY = gateway_cluster.REMOVED_KEY


class SoakStore:
    """Writes what replicas and operators publish, and injects store faults.

    Args:
        rng: Source of randomness.

    Attributes:
        store: The store that gateways read.
        addresses: Address of each replica by its `id()`.
        states: State in each replica's entry, by the replica's name.
        drain_published_s: When the drain or removal of a replica was last
            written, by the replica's name at that time; infinity from a restore
            until it is written again.
        disrupted_s: Times at which an outage began or ended, or the store was
            restored.
        key_removed_s: When the key was removed; infinity before.
        counts: Number of injected events by name.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.store = platform_store.PlatformStore()
        self.addresses: dict[int, str] = {}
        self.states: dict[str, str] = {}
        self.drain_published_s: dict[str, float] = {}
        self.disrupted_s: list[float] = []
        self.key_removed_s = float("inf")
        self.counts: collections.Counter[str] = collections.Counter()
        self._replicas: list[platform_replica.PlatformReplica] = []
        self._heartbeat_numbers: collections.Counter[str] = (
            collections.Counter()
        )
        self._snapshots: list[platform_store.Snapshot] = []
        self._keys = {"w1": [gateway_cluster.KEY], "w2": [REMOVED_KEY]}
        self._revision = 0

    async def run(self) -> None:
        """Writes heartbeats and takes snapshots until cancelled."""
        heartbeat_s = 0.0
        while True:
            self._snapshots.append(self.store.take_snapshot())
            del self._snapshots[:-_MAX_SNAPSHOTS]
            if time.monotonic() >= heartbeat_s + gateway_cluster.HEARTBEAT_S:
                heartbeat_s = time.monotonic()
                self._write_replicas()
            await asyncio.sleep(_SNAPSHOT_INTERVAL_S)

    def add_replica(
        self, replica: platform_replica.PlatformReplica, address: str
    ) -> None:
        """Adds a replica at an address and lists it."""
        self._replicas.append(replica)
        self.addresses[id(replica)] = address
        self.list_replica(replica)

    def list_replica(self, replica: platform_replica.PlatformReplica) -> None:
        """Lists a replica as ready under its current name."""
        self.states[replica.name] = READY
        self._write_replica(replica)

    def start_drain(
        self, replica: platform_replica.PlatformReplica, state: str
    ) -> None:
        """Lists a replica as draining, or removes it without notice."""
        name = replica.name
        self.counts[f"leavings, {'drained' if state else 'removed'}"] += 1
        self.states[name] = state
        self.drain_published_s[name] = time.monotonic()
        self._write_replica(replica)

    def delist_replica(self, replica: platform_replica.PlatformReplica) -> None:
        """Removes the entry of a replica that has ended."""
        self.states[replica.name] = REMOVED
        self._write_replica(replica)

    def publish_settings(self, removes_key: bool = False) -> None:
        """Publishes the next settings revision."""
        if removes_key and self._keys.pop("w2", None):
            self.counts["removed keys"] += 1
            self.key_removed_s = time.monotonic()
        self._revision += 1
        self._write_settings()

    async def inject_restore(self) -> None:
        """Restores an older snapshot of the store, at times after an outage."""
        outage_s = self._rng.choice((0.0, 0.0, 0.5, 1.5))
        snapshot = self._rng.choice(self._snapshots)
        if outage_s:
            await self.inject_outage(outage_s)
        self.counts["restores of the store"] += 1
        self.disrupted_s.append(time.monotonic())
        self.store.restore(snapshot)
        # Later snapshots hold writes that this restore has lost.
        self._snapshots = [snapshot]
        for name in self.drain_published_s:
            self.drain_published_s[name] = float("inf")
        await asyncio.sleep(self._rng.uniform(0.0, _REWRITE_S))
        self._write_settings()
        self._write_replicas()
        now_s = time.monotonic()
        for name in self.drain_published_s:
            self.drain_published_s[name] = min(
                self.drain_published_s[name], now_s
            )

    async def inject_outage(self, outage_s: float) -> None:
        """Makes the store fail every request for a given time."""
        self.counts["outages of the store"] += 1
        self.disrupted_s.append(time.monotonic())
        self.store.failure = self._rng.choice(("busy", "reset", "silent"))
        await asyncio.sleep(outage_s)
        self.store.failure = ""
        self.disrupted_s.append(time.monotonic())

    def _write_replicas(self) -> None:
        for name, state in self.states.items():
            if state == REMOVED:
                self.store.remove(f"servers/{name}")
        for replica in self._replicas:
            self._write_replica(replica)

    def _write_replica(self, replica: platform_replica.PlatformReplica) -> None:
        name = replica.name
        if self.states[name] == REMOVED:
            self.store.remove(f"servers/{name}")
            return
        self._heartbeat_numbers[name] += 1
        number = self._replicas.index(replica)
        self.store.put(
            f"servers/{name}",
            {
                "service": "engines" if replica.engine else "notices",
                "address": self.addresses[id(replica)],
                "zone": f"hall-{number % 3}",
                "slots": 8,
                "state": self.states[name],
                "sequence": self._heartbeat_numbers[name],
            },
        )

    def _write_settings(self) -> None:
        document = gateway_cluster.make_configuration(
            self._keys, self._revision
        )
        self.store.put("op/config", document)
