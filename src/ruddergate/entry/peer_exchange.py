"""The task that tells peers this VM's work on targets, and hears theirs.

Digests are small datagrams: a lost one is made good by the next, and nothing
waits for a peer. They carry load only; whatever a promise rests on each VM
finds out for itself. In a large fleet they go by relays, see
decisions/peer_groups.py.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
from typing import TypeAlias

from ruddergate import environment
from ruddergate.decisions import peer_groups
from ruddergate.decisions import peer_loads
from ruddergate.entry import digest_relay
from ruddergate.entry import peer_questions
from ruddergate.fleet import dispatched
from ruddergate.fleet import loss_report
from ruddergate.fleet import rate_limit
from ruddergate.messages import load_bundle
from ruddergate.messages import load_digest
from ruddergate.messages import poison_reports
from ruddergate.telemetry import logs
from ruddergate.wire import codec

# Changes are told at once, but for those that follow within this time: several
# requests often begin together.
CHANGE_GAP_MS = 25.0
# Without a change a VM tells its work again in this time, in case that a
# datagram was lost, and keeps itself known.
ROUND_MS = 1_000.0
# All sums are handed over anew in this time, since the scheduler takes what it
# was not told for 2 s for unknown. What is silent is forgotten then, too.
RENEW_MS = 500.0
# Seeds are written to once in this time while no peer is known. VMs that start
# together find the seeds' ports closed at first, and callers that come back
# then must not all be sent to the same few engines.
SEEDS_FIRST_MS = 100.0
# For so long after its start; later, a VM without peers is alone for a reason.
SEEDS_FIRST_FOR_MS = 3_000.0
# And so often then.
SEEDS_ALONE_MS = 1_000.0
# And so often later, for parts of a fleet that have lost each other for longer
# than they remember.
SEEDS_LATER_MS = 10_000.0
# A port that another process holds is tried again after this time.
_BIND_AGAIN_MS = 2_000.0


Answerer: TypeAlias = Callable[
    [peer_questions.Question], peer_questions.Answer | None
]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerConfig:
    """Where peers are found.

    Attributes:
        listen: Where this VM takes datagrams.
        seeds: Where some peers may take them; they may be gone.
        link_mbps: How fast this VM's link is, in megabits a second.
    """

    listen: environment.Address
    seeds: tuple[environment.Address, ...]
    link_mbps: int = 0


class PeerExchange:
    """Sends, takes and passes on digests; owns the port for datagrams.

    Args:
        outside: Clock, chance and datagrams.
        config: Where peers are found.
        hall: Data hall of this VM.
        incarnation: Name of this run of the VM.
        summarize: Returns this VM's own work.
        summarize_lost: Returns what this VM has found out of reach.
        note_peers: Is told how many peers are known, whenever that changes.
        answer: Returns this VM's answer to a peer's question.
        summarize_lost: Returns what this VM has found out of reach.
        take_suspects: Takes what a peer tells of contents.
        greet: Is told of each run of a VM that is heard of for the first time.
        summarize_leaving: Returns targets that this VM has heard to leave.
        take_leaving: Takes those of a peer, and the peer's name.
        summarize_rate_limits: Returns the rate limits to tell peers.
        merge_rate_limits: Takes those of a peer, and the peer's name.
        find_settings_revision: Returns the revision of settings in force.
        note_newer_settings: Takes a peer's name and its revision, if that is
            a later one.

    Attributes:
        loads: What is known of peers.
        questions: Asks peers.
    """

    def __init__(
        self,
        outside: environment.Environment,
        config: PeerConfig,
        hall: str,
        incarnation: str,
        summarize: Callable[[], tuple[dispatched.Dispatched, ...]],
        note_peers: Callable[[int], None] = lambda count: None,
        answer: Answerer | None = None,
        summarize_lost: Callable[[], loss_report.LossReport] = lambda: (
            loss_report.EMPTY
        ),
        take_suspects: Callable[
            [poison_reports.PoisonReports], None
        ] = lambda told: None,
        greet: Callable[[str], None] = lambda peer: None,
        summarize_leaving: Callable[[], tuple[str, ...]] = lambda: (),
        take_leaving: Callable[
            [Sequence[str], str], None
        ] = lambda words, peer: None,
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
    ) -> None:
        self._outside = outside
        self._config = config
        self._hall = hall
        self._incarnation = incarnation
        self._summarize = summarize
        self._summarize_lost = summarize_lost
        self._take_suspects = take_suspects
        self._greet = greet
        self._summarize_leaving = summarize_leaving
        self._take_leaving = take_leaving
        self._summarize_rate_limits = summarize_rate_limits
        self._merge_rate_limits = merge_rate_limits
        self._find_settings_revision = find_settings_revision
        self._note_newer_settings = note_newer_settings
        self._report_peers = note_peers
        self._own = str(config.listen)
        self.loads = peer_loads.PeerLoads(
            self._own, peer_groups.Place(hall, config.link_mbps)
        )
        self.questions = peer_questions.PeerQuestions(
            outside,
            config.listen,
            lambda message, peer: self._send(message, (peer,)),
            answer or _answer_nothing,
        )
        self._port: environment.DatagramPort | None = None
        self._number = 0
        self._began_ms = outside.now_ms()
        self._seeds_due_ms = float("-inf")
        self._changed = asyncio.Event()
        self._renewed_ms = float("-inf")
        self._passed_on = digest_relay.DigestRelay(
            outside, self._own, self.loads, self._send
        )
        self._known = 0
        # The relay that was last written to, for logs.
        self._relay = ""
        self._log = logs.make_logger("peers")

    async def run(self) -> None:
        """Sends a digest after each change and in each round."""
        self._port = await self._bind()
        try:
            while True:
                await self._wait()
                self._tell()
                await asyncio.sleep(CHANGE_GAP_MS / 1000.0)
        finally:
            self._port.close()
            self._port = None

    def is_blind(self) -> bool:
        """Returns whether there are peers, none of which is known yet."""
        return not len(self.loads) and any(
            str(seed) != self._own for seed in self._config.seeds
        )

    def find_hall_peers(self) -> list[str]:
        """Returns the peers of this hall that were lately heard of."""
        return [name for name in self.rank_hall() if name != self._own]

    def rank_hall(self) -> list[str]:
        """Returns this hall's VMs, with this one, in the order of readers."""
        return self.loads.rank_hall(self._outside.now_ms())

    def note_change(self) -> None:
        """Has peers told soon that this VM's work has changed."""
        self._changed.set()

    async def _bind(self) -> environment.DatagramPort:
        """Takes the port, whenever it is free; callers are served meanwhile."""
        while True:
            try:
                return await self._outside.bind(self._take, self._config.listen)
            except OSError as error:
                self._log.error("No port for peers' datagrams. {}", error)
            await asyncio.sleep(_BIND_AGAIN_MS / 1000.0)

    def collect_sums(self) -> tuple[dispatched.Dispatched, ...]:
        """Returns what peers have running, as far as it is news.

        The scheduler asks when it needs to know: waking it for each datagram
        would cost more than the datagram.
        """
        now_ms = self._outside.now_ms()
        if now_ms >= self._renewed_ms + RENEW_MS:
            self._renewed_ms = now_ms
            self.loads.forget_silent(now_ms)
            self.loads.renew_sums()
        return self.loads.collect_sums()

    async def _wait(self) -> None:
        """Returns after a change, or else after a round.

        While seeds are to be written to soon, a round is as short as that.
        """
        round_ms = ROUND_MS
        if not len(self.loads):
            due_ms = self._seeds_due_ms - self._outside.now_ms()
            round_ms = max(0.0, min(ROUND_MS, due_ms))
        try:
            async with asyncio.timeout(round_ms / 1000.0):
                await self._changed.wait()
        except TimeoutError:
            return
        self._changed.clear()

    def _tell(self) -> None:
        """Sends this VM's digest on its way."""
        self._note_peers()
        digest = self._make_digest()
        now_ms = self._outside.now_ms()
        self._tell_seeds(digest, now_ms)
        if len(self.loads) <= peer_groups.DIRECT_MOST:
            bundle = load_bundle.LoadBundle(self._own, False, (digest,))
            self._send(bundle, self.loads.names())
            return
        relay = self._find_relay(now_ms)
        if relay == self._own:
            self._passed_on.add_member(digest)
            return
        self.loads.note_written_to(relay, now_ms)
        self._send(digest, (relay,))

    def _note_peers(self) -> None:
        if len(self.loads) != self._known:
            self._known = len(self.loads)
            self._log.info("Peers known: {}.", self._known)
            self._report_peers(self._known)

    def _make_digest(self) -> load_digest.LoadDigest:
        self._number += 1
        return load_digest.LoadDigest(
            sender=self._own,
            hall=self._hall,
            link_mbps=self._config.link_mbps,
            incarnation=self._incarnation,
            sequence=self._number,
            rows=self._summarize(),
            losses=self._summarize_lost(),
            draining=self._summarize_leaving(),
            rate_limits=self._summarize_rate_limits(),
            settings_revision=self._find_settings_revision(),
        )

    def _tell_seeds(
        self, digest: load_digest.LoadDigest, now_ms: float
    ) -> None:
        """Makes this VM known to the seeds, which pass its digest on."""
        if now_ms < self._seeds_due_ms:
            return
        self._seeds_due_ms = now_ms + self._find_seeds_pause_ms(now_ms)
        self._send(digest, map(str, self._config.seeds))

    def _find_seeds_pause_ms(self, now_ms: float) -> float:
        if len(self.loads):
            return SEEDS_LATER_MS
        if now_ms - self._began_ms < SEEDS_FIRST_FOR_MS:
            return SEEDS_FIRST_MS
        return SEEDS_ALONE_MS

    def _find_relay(self, now_ms: float) -> str:
        relay = self.loads.find_relay(now_ms)
        if relay != self._relay:
            self._relay = relay
            self._log.info("Digests go by {}.", relay, peers=self._known)
        return relay

    def _take(self, data: bytes) -> None:
        message = codec.decode(data)
        match message:
            case load_digest.LoadDigest():
                self._take_digests((message,), self._passed_on.add_member)
                self.loads.note_written_by(message.sender)
            case load_bundle.LoadBundle():
                pass_on = (
                    self._passed_on.add_other if message.for_group else None
                )
                self._take_digests(message.digests, pass_on)
                self.loads.note_written_by(message.sender)
            case poison_reports.PoisonReports():
                self._take_suspects(message)
            case _ if isinstance(
                message, peer_questions.QUESTIONS + peer_questions.ANSWERS
            ):
                self.questions.take(message)
            case _:
                self._log.warning("Datagram dropped, it is no digest.")

    def _take_digests(
        self,
        digests: Sequence[load_digest.LoadDigest],
        pass_on: Callable[[load_digest.LoadDigest], None] | None,
    ) -> None:
        """Takes digests in, and has those passed on that are news."""
        now_ms = self._outside.now_ms()
        own_revision = self._find_settings_revision()
        for digest in digests:
            if not _is_sound(digest):
                self._log.warning("Digest dropped, its sender is no address.")
                continue
            is_new_run = self.loads.is_new_run(digest)
            if not self.loads.take(digest, now_ms):
                continue
            if is_new_run:
                self._welcome(digest.sender)
            if digest.draining:
                self._take_leaving(digest.draining, digest.sender)
            if digest.rate_limits:
                self._merge_rate_limits(digest.rate_limits, digest.sender)
            if digest.settings_revision > own_revision:
                self._note_newer_settings(
                    digest.sender, digest.settings_revision
                )
            if pass_on is not None:
                pass_on(digest)

    def _welcome(self, peer: str) -> None:
        """Tells a VM that has just started what it should know.

        In a small fleet that is this VM's load, too: it would place calls
        blindly until the next round otherwise. In a large one each start would
        have all VMs write.
        """
        self._greet(peer)
        if len(self.loads) <= peer_groups.DIRECT_MOST:
            self._changed.set()

    def _send(
        self,
        message: load_digest.LoadDigest
        | load_bundle.LoadBundle
        | peer_questions.Question
        | peer_questions.Answer
        | poison_reports.PoisonReports,
        receivers: Iterable[str],
    ) -> None:
        if self._port is None:
            return
        data = codec.encode(message)
        for name in receivers:
            if name != self._own:
                self._port.send(data, environment.parse_address(name))

    def tell_suspects(
        self, told: poison_reports.PoisonReports, receivers: Iterable[str]
    ) -> None:
        """Tells peers of contents under which targets have ended."""
        self._send(told, receivers)


def _answer_nothing(question: peer_questions.Question) -> None:
    """Stands where questions are not answered."""
    return


def _is_sound(digest: load_digest.LoadDigest) -> bool:
    """Returns whether a digest's sender can be written to."""
    try:
        environment.parse_address(digest.sender)
    except ValueError:
        return False
    return True
