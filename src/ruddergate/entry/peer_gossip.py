"""The task that gossips this VM's load on targets, and receives peers' loads.

Digests are small datagrams: the next one makes up for one that is lost, and
nothing waits for a peer. They carry load and other advisory state only: each VM
finds out for itself whatever a guarantee depends on. In a large fleet digests
are forwarded by relays, see decisions/peer_groups.py.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
from typing import TypeAlias

from ruddergate import environment
from ruddergate.decisions import carriers
from ruddergate.decisions import peer_groups
from ruddergate.decisions import peer_loads
from ruddergate.entry import digest_relay
from ruddergate.entry import peer_rpc
from ruddergate.fleet import dispatched
from ruddergate.fleet import loss_report
from ruddergate.fleet import rate_limit
from ruddergate.messages import load_bundle
from ruddergate.messages import load_digest
from ruddergate.messages import poison_reports
from ruddergate.telemetry import logs
from ruddergate.wire import codec

# A change is sent at once; further changes within this time wait for the next
# digest, as several requests often begin together.
CHANGE_BATCH_MS = 25.0
# Without a change the digest is sent again after this time. That replaces lost
# datagrams, and keeps peers from dropping this VM as silent.
ROUND_INTERVAL_MS = 1_000.0
# All sums are handed to the scheduler again after this time, as it treats sums
# that were not refreshed for 2 s as unknown. Silent peers are dropped, too.
FULL_REFRESH_MS = 500.0
# Interval of datagrams to the seeds just after the start, while no peer is
# known. VMs that start together find the seeds' ports closed at first, and
# callers that return then must not all be sent to the same few engines.
SEED_INTERVAL_AT_START_MS = 100.0
# How long that interval applies; a VM that still has no peers then is alone for
# a reason.
SEED_START_PHASE_MS = 3_000.0
# Interval after that, while no peer is known.
SEED_INTERVAL_ALONE_MS = 1_000.0
# Interval while peers are known. It lets parts of a fleet find each other after
# a partition that outlasted their memory of each other.
SEED_INTERVAL_MS = 10_000.0
# If another process holds the port, binding is retried after this time. Callers
# are served meanwhile.
_REBIND_MS = 2_000.0


RequestHandler: TypeAlias = Callable[[peer_rpc.Request], peer_rpc.Reply | None]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerConfig:
    """Addresses for communication with peers.

    Attributes:
        listen: Where this VM receives datagrams.
        seeds: Addresses of some peers; those may no longer exist.
        link_mbps: Speed of this VM's network link in megabits per second.
    """

    listen: environment.Address
    seeds: tuple[environment.Address, ...]
    link_mbps: int = 0


class PeerGossip:
    """Sends, receives and forwards digests; owns the datagram port.

    Args:
        env: Clock, random numbers and datagrams.
        config: Addresses for communication with peers.
        hall: Data hall of this VM.
        incarnation: Name of this run of the VM.
        summarize: Returns this VM's load on targets.
        on_peer_count: Called with the number of known peers when it changes.
        handle_request: Returns this VM's reply to a peer's request.
        summarize_losses: Returns the losses that this VM has found.
        merge_evidence: Called with a peer's evidence against poison requests.
        on_peer_started: Called with the name of each VM of which a new run is
            seen for the first time.
        summarize_draining: Returns the draining targets to report to peers.
        merge_draining: Called with the draining targets that a peer reports,
            and the peer's name.
        summarize_rate_limits: Returns the rate limits to report to peers.
        merge_rate_limits: Called with the rate limits that a peer reports, and
            the peer's name.
        find_settings_revision: Returns the revision of settings in force.
        note_newer_settings: Called with a peer's name and its settings
            revision, if that is later than this VM's.
        count_carried: Returns the number of connections carried for peers, or
            `carriers.CARRIES_NONE`.
        summarize_refuted_ends: Returns the ends of targets that this VM has
            refuted.
        on_carrier: Called with the name of a peer that carries connections,
            and did not when last heard of.

    Attributes:
        loads: Known loads of peers.
        rpc: Requests to peers.
    """

    def __init__(
        self,
        env: environment.Environment,
        config: PeerConfig,
        hall: str,
        incarnation: str,
        summarize: Callable[[], tuple[dispatched.Dispatched, ...]],
        on_peer_count: Callable[[int], None] = lambda count: None,
        handle_request: RequestHandler | None = None,
        summarize_losses: Callable[[], loss_report.LossReport] = lambda: (
            loss_report.EMPTY
        ),
        merge_evidence: Callable[
            [poison_reports.PoisonReports], None
        ] = lambda evidence: None,
        on_peer_started: Callable[[str], None] = lambda peer: None,
        summarize_draining: Callable[[], tuple[str, ...]] = lambda: (),
        merge_draining: Callable[
            [Sequence[str], str], None
        ] = lambda names, peer: None,
        summarize_rate_limits: Callable[
            [], tuple[rate_limit.RateLimitUpdate, ...]
        ] = lambda: (),
        merge_rate_limits: Callable[
            [Sequence[rate_limit.RateLimitUpdate], str], None
        ] = lambda updates, peer: None,
        find_settings_revision: Callable[[], int] = lambda: 0,
        note_newer_settings: Callable[
            [str, int], None
        ] = lambda peer, revision: None,
        count_carried: Callable[[], int] = lambda: carriers.CARRIES_NONE,
        summarize_refuted_ends: Callable[[], tuple[str, ...]] = lambda: (),
        on_carrier: Callable[[str], None] = lambda peer: None,
        on_new_ends: Callable[[], None] = lambda: None,
    ) -> None:
        self._env = env
        self._config = config
        self._hall = hall
        self._incarnation = incarnation
        self._summarize = summarize
        self._summarize_losses = summarize_losses
        self._merge_evidence = merge_evidence
        self._notify_peer_started = on_peer_started
        self._summarize_draining = summarize_draining
        self._merge_draining = merge_draining
        self._summarize_rate_limits = summarize_rate_limits
        self._merge_rate_limits = merge_rate_limits
        self._find_settings_revision = find_settings_revision
        self._note_newer_settings = note_newer_settings
        self._notify_peer_count = on_peer_count
        self._count_carried = count_carried
        self._summarize_refuted_ends = summarize_refuted_ends
        self._on_carrier = on_carrier
        self._on_new_ends = on_new_ends
        self._own = str(config.listen)
        self.loads = peer_loads.PeerLoads(
            self._own, peer_groups.VmAttributes(hall, config.link_mbps)
        )
        self.rpc = peer_rpc.PeerRpc(
            env,
            config.listen,
            lambda message, peer: self._send(message, (peer,)),
            handle_request or _answer_no_request,
        )
        self._port: environment.DatagramPort | None = None
        self._sequence_number = 0
        self._started_ms = env.now_ms()
        self._next_seed_ms = float("-inf")
        self._changed = asyncio.Event()
        self._refreshed_ms = float("-inf")
        self._digest_relay = digest_relay.DigestRelay(
            env, self._own, self.loads, self._send
        )
        self._known_count = 0
        # The relay that was last used, for logs.
        self._relay = ""
        self._log = logs.make_logger("peers")

    async def run(self) -> None:
        """Sends a digest after each change, and at least once per round."""
        self._port = await self._bind()
        try:
            while True:
                await self._wait()
                self._publish()
                await asyncio.sleep(CHANGE_BATCH_MS / 1000.0)
        finally:
            self._port.close()
            self._port = None

    def lacks_peers(self) -> bool:
        """Returns whether seeds are configured but no peer is known yet."""
        return not len(self.loads) and any(
            str(seed) != self._own for seed in self._config.seeds
        )

    def find_hall_peers(self) -> list[str]:
        """Returns the peers of this hall that were heard from recently."""
        return [name for name in self.rank_hall() if name != self._own]

    def list_carriers(self) -> list[carriers.Carrier]:
        """Returns the peers that carry connections to targets."""
        return self.loads.list_carriers(self._env.now_ms())

    def is_peer(self, name: str) -> bool:
        """Returns whether a VM with this address is a known peer."""
        return name in self.loads

    def rank_hall(self) -> list[str]:
        """Returns this hall's VMs, this one included.

        They are in the order in which they become readers of the store.
        """
        return self.loads.rank_hall(self._env.now_ms())

    def list_elsewhere(self) -> list[str]:
        """Returns the VMs of other halls that were heard from recently."""
        halls = self.loads.find_member_halls(self._env.now_ms())
        own_hall = halls[self._own]
        return [name for name, hall in halls.items() if hall != own_hall]

    def note_change(self) -> None:
        """Schedules a digest after a change of this VM's load."""
        self._changed.set()

    async def _bind(self) -> environment.DatagramPort:
        """Binds the port, retrying until it is free."""
        while True:
            try:
                return await self._env.bind(self._receive, self._config.listen)
            except OSError as error:
                self._log.error("Could not bind the datagram port. {}", error)
            await asyncio.sleep(_REBIND_MS / 1000.0)

    def collect_sums(self) -> tuple[dispatched.Dispatched, ...]:
        """Returns the changed sums of what peers have running.

        The scheduler calls this when it needs them: waking it for each datagram
        would cost more than handling the datagram.
        """
        now_ms = self._env.now_ms()
        if now_ms >= self._refreshed_ms + FULL_REFRESH_MS:
            self._refreshed_ms = now_ms
            self.loads.forget_silent(now_ms)
            self.loads.mark_all_changed()
        return self.loads.collect_sums()

    async def _wait(self) -> None:
        """Waits for a change or the end of the round.

        While no peer is known the round ends when seeds are to be contacted.
        """
        round_ms = ROUND_INTERVAL_MS
        if not len(self.loads):
            due_ms = self._next_seed_ms - self._env.now_ms()
            round_ms = max(0.0, min(ROUND_INTERVAL_MS, due_ms))
        try:
            async with asyncio.timeout(round_ms / 1000.0):
                await self._changed.wait()
        except TimeoutError:
            return
        self._changed.clear()

    def _publish(self) -> None:
        """Sends this VM's digest to the peers, or to its relay."""
        self._check_peer_count()
        digest = self._make_digest()
        now_ms = self._env.now_ms()
        self._send_to_seeds(digest, now_ms)
        if len(self.loads) <= peer_groups.MAX_FULL_MESH_VMS:
            bundle = load_bundle.LoadBundle(self._own, False, (digest,))
            self._send(bundle, self.loads.list_peers())
            return
        relay = self._find_relay(now_ms)
        if relay == self._own:
            self._digest_relay.add_from_member(digest)
            return
        self.loads.note_sent_to(relay, now_ms)
        self._send(digest, (relay,))

    def _check_peer_count(self) -> None:
        if len(self.loads) != self._known_count:
            self._known_count = len(self.loads)
            self._log.info("Known peers: {}.", self._known_count)
            self._notify_peer_count(self._known_count)

    def _make_digest(self) -> load_digest.LoadDigest:
        self._sequence_number += 1
        return load_digest.LoadDigest(
            sender=self._own,
            hall=self._hall,
            link_mbps=self._config.link_mbps,
            incarnation=self._incarnation,
            sequence=self._sequence_number,
            rows=self._summarize(),
            losses=self._summarize_losses(),
            draining=self._summarize_draining(),
            rate_limits=self._summarize_rate_limits(),
            settings_revision=self._find_settings_revision(),
            carried=self._count_carried(),
            refuted_ends=self._summarize_refuted_ends(),
        )

    def _send_to_seeds(
        self, digest: load_digest.LoadDigest, now_ms: float
    ) -> None:
        """Sends the digest to the seeds, which forward it, if that is due."""
        if now_ms < self._next_seed_ms:
            return
        self._next_seed_ms = now_ms + self._find_seed_interval_ms(now_ms)
        self._send(digest, map(str, self._config.seeds))

    def _find_seed_interval_ms(self, now_ms: float) -> float:
        if len(self.loads):
            return SEED_INTERVAL_MS
        if now_ms - self._started_ms < SEED_START_PHASE_MS:
            return SEED_INTERVAL_AT_START_MS
        return SEED_INTERVAL_ALONE_MS

    def _find_relay(self, now_ms: float) -> str:
        relay = self.loads.find_relay(now_ms)
        if relay != self._relay:
            self._relay = relay
            self._log.info(
                "Digests are relayed by {}.", relay, peers=self._known_count
            )
        return relay

    def _receive(self, data: bytes) -> None:
        message = codec.decode(data)
        match message:
            case load_digest.LoadDigest():
                self._merge_digests(
                    (message,), self._digest_relay.add_from_member
                )
                self._note_digests_from(message.sender)
            case load_bundle.LoadBundle():
                forward = (
                    self._digest_relay.add_from_relay
                    if message.for_group
                    else None
                )
                self._merge_digests(message.digests, forward)
                self._note_digests_from(message.sender)
            case poison_reports.PoisonReports():
                self._merge_evidence(message)
            case _ if isinstance(message, peer_rpc.REQUESTS + peer_rpc.REPLIES):
                self.rpc.receive(message)
            case _:
                self._log.warning("Ignoring datagram of an unexpected type.")

    def _merge_digests(
        self,
        digests: Sequence[load_digest.LoadDigest],
        forward: Callable[[load_digest.LoadDigest], None] | None,
    ) -> None:
        """Merges digests, and forwards those that are new."""
        now_ms = self._env.now_ms()
        own_revision = self._find_settings_revision()
        for digest in digests:
            if not _has_valid_sender(digest):
                self._log.warning("Ignoring digest: sender is not an address.")
                continue
            is_new_run = self.loads.is_new_incarnation(digest)
            was_carrier = self.loads.is_carrier(digest.sender)
            if not self.loads.merge(digest, now_ms):
                continue
            if is_new_run:
                self._on_peer_started(digest.sender)
            if not was_carrier and self.loads.is_carrier(digest.sender):
                self._on_carrier(digest.sender)
            if digest.draining:
                self._merge_draining(digest.draining, digest.sender)
            if digest.rate_limits:
                self._merge_rate_limits(digest.rate_limits, digest.sender)
            if digest.settings_revision > own_revision:
                self._note_newer_settings(
                    digest.sender, digest.settings_revision
                )
            if forward is not None:
                forward(digest)

    def _note_digests_from(self, sender: str) -> None:
        """Records that digests were merged, and who sent them."""
        self.loads.note_received_from(sender)
        if self.loads.has_new_ends():
            self._on_new_ends()

    def _on_peer_started(self, peer: str) -> None:
        """Sends a VM that has just started what it should know.

        In a small fleet this includes this VM's load: otherwise the new VM
        would place requests without it until the next round. In a large fleet
        each start would make all VMs send.
        """
        self._notify_peer_started(peer)
        if len(self.loads) <= peer_groups.MAX_FULL_MESH_VMS:
            self._changed.set()

    def _send(
        self,
        message: load_digest.LoadDigest
        | load_bundle.LoadBundle
        | peer_rpc.Request
        | peer_rpc.Reply
        | poison_reports.PoisonReports,
        receivers: Iterable[str],
    ) -> None:
        if self._port is None:
            return
        data = codec.encode(message)
        for name in receivers:
            if name != self._own:
                self._port.send(data, environment.parse_address(name))

    def send_evidence(
        self, evidence: poison_reports.PoisonReports, receivers: Iterable[str]
    ) -> None:
        """Sends evidence against poison requests to peers."""
        self._send(evidence, receivers)


def _answer_no_request(request: peer_rpc.Request) -> None:
    """Default of a VM that does not reply to requests of peers."""
    return


def _has_valid_sender(digest: load_digest.LoadDigest) -> bool:
    """Returns whether a digest's sender is a valid address."""
    try:
        environment.parse_address(digest.sender)
    except ValueError:
        return False
    return True
