"""Reads from peers what the platform's store has published."""

from collections.abc import Callable
from collections.abc import Sequence

from ruddergate import environment
from ruddergate.decisions import freshness
from ruddergate.entry import document_exchange
from ruddergate.entry import store_peers
from ruddergate.fleet import store_position
from ruddergate.fleet import target as targets
from ruddergate.messages import document_part
from ruddergate.messages import store_changes
from ruddergate.relay import published
from ruddergate.settings import catalog as catalogs
from ruddergate.telemetry import logs
from ruddergate.wire import codec

# Peers asked in one poll: a reader, and another VM if that one cannot help.
MAX_PEERS_ASKED = 2
# Peers of other halls asked in one poll, if neither the store nor this hall
# helps.
MAX_PEERS_ASKED_ELSEWHERE = 2


class PeerReader:
    """Reads from peers, and serves them the documents of this VM.

    Args:
        env: Random numbers.
        peers: Requests to peers.
        read_settings: Parses published settings, or returns an error message.
        find_settings: Returns this VM's settings of a revision.
        find_targets: Returns this VM's targets at a position, encoded.

    Attributes:
        settings: Serves the settings in force to peers.
        targets: Serves all targets that the store lists to peers.
    """

    def __init__(
        self,
        env: environment.Environment,
        peers: store_peers.StorePeers,
        read_settings: Callable[[bytes], catalogs.Catalog | str],
        find_settings: Callable[[int], bytes | None],
        find_targets: Callable[[store_position.StorePosition], bytes | None],
    ) -> None:
        self._env = env
        self._peers = peers
        self._read_settings = read_settings
        self.settings = document_exchange.DocumentExchange(
            peers.request_settings, find_settings
        )
        self.targets = document_exchange.DocumentExchange(
            peers.request_targets, find_targets
        )
        self._log = logs.make_logger("store")

    def is_reader(self) -> bool:
        """Returns whether this VM reads the store for its hall."""
        return freshness.is_reader(self._peers.own, self._peers.rank_hall())

    def is_shared(self) -> bool:
        """Returns whether one VM of this hall reads the store for all."""
        return freshness.has_shared_readers(self._peers.rank_hall())

    def choose(self) -> list[str]:
        """Returns the peers to ask: a reader first, then any other VM."""
        own = self._peers.own
        ranked = [name for name in self._peers.rank_hall() if name != own]
        if not ranked:
            return []
        rng = self._env.random
        first = rng.choice(ranked[: freshness.READERS_PER_HALL])
        rest = [name for name in ranked if name != first]
        return [first, *rng.sample(rest, min(len(rest), MAX_PEERS_ASKED - 1))]

    def choose_elsewhere(self) -> list[str]:
        """Returns the peers of other halls to ask, chosen at random."""
        names = self._peers.list_elsewhere()
        count = min(len(names), MAX_PEERS_ASKED_ELSEWHERE)
        return self._env.random.sample(names, count)

    def list_seeds(self) -> Sequence[str]:
        """Returns where other VMs may be found right after the start."""
        return self._peers.seeds

    def list_at_start(self) -> list[str]:
        """Returns the peers that a VM which has just started may ask."""
        found = (
            *self._peers.seeds,
            *self._peers.rank_hall(),
            *self._peers.list_elsewhere(),
        )
        return [
            name for name in dict.fromkeys(found) if name != self._peers.own
        ]

    async def request_changes(
        self, peer: str, position: store_position.StorePosition
    ) -> store_changes.StoreChangesReply | None:
        """Returns a peer's changes since a position; None without a reply."""
        return await self._peers.request_changes(peer, position)

    async def request_at_start(
        self, peer: str, position: store_position.StorePosition
    ) -> store_changes.StoreChangesReply | None:
        """Returns the same for a VM that has just started."""
        return await self._peers.request_at_start(peer, position)

    async def complete(
        self,
        peer: str,
        reply: store_changes.StoreChangesReply,
        own_revision: int,
    ) -> published.Changes | None:
        """Completes a peer's reply with what did not fit into the datagram.

        That is the peer's settings if they are newer, and all of its targets if
        it could not list the changes.

        Args:
            peer: The peer.
            reply: Its reply.
            own_revision: Revision of the settings in force here.

        Returns:
            The changes, or None if the store has to be read instead.
        """
        listed = reply.listed
        if not reply.is_complete:
            listed = await self._fetch_targets(peer, reply)
        if listed is None:
            return None
        catalog, document = None, b""
        if reply.settings_revision > own_revision:
            fetched = await self.fetch_settings(peer, reply.settings_revision)
            if fetched is None:
                return None
            catalog, document = fetched
        return published.Changes(
            store_position.StorePosition(reply.epoch, reply.revision),
            catalog,
            listed,
            reply.removed,
            (),
            document,
            tuple(
                published.MalformedEntry(
                    each, f"a peer could not read it: {peer}"
                )
                for each in reply.malformed
            ),
        )

    async def fetch_settings(
        self, peer: str, revision: int
    ) -> tuple[catalogs.Catalog, bytes] | None:
        """Fetches a peer's settings; returns them with their document."""
        document = await self.settings.fetch(peer, revision)
        if document is None:
            return None
        catalog = self._read_settings(document)
        if isinstance(catalog, str):
            self._log.warning("Rejected settings of a peer. {}", catalog)
            return None
        return catalog, document

    async def _fetch_targets(
        self, peer: str, reply: store_changes.StoreChangesReply
    ) -> tuple[targets.Target, ...] | None:
        """Fetches all of a peer's targets."""
        position = store_position.StorePosition(reply.epoch, reply.revision)
        data = await self.targets.fetch(peer, position)
        if data is None:
            return None
        document = codec.decode(data)
        if not isinstance(document, document_part.TargetsDocument):
            self._log.warning("Rejected targets of a peer.", peer=peer)
            return None
        return document.listed
