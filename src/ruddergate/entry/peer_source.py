"""Gets what the platform's store has published from peers that know it."""

from collections.abc import Callable

from ruddergate import environment
from ruddergate.decisions import proof
from ruddergate.entry import document_exchange
from ruddergate.entry import source_peers
from ruddergate.fleet import store_position
from ruddergate.fleet import target as targets
from ruddergate.messages import document_part
from ruddergate.messages import store_changes
from ruddergate.relay import published
from ruddergate.settings import catalog as catalogs
from ruddergate.telemetry import logs
from ruddergate.wire import codec

# Peers asked in one turn: a reader, and another VM if that one has no news.
PEERS_ASKED = 2


class PeerSource:
    """Asks peers, and hands them the documents of this VM.

    Args:
        outside: Chance.
        peers: Who is asked, and how.
        read_settings: Reads settings as published, or says what is wrong.
        find_settings: Returns this VM's settings of a revision.
        find_targets: Returns this VM's targets at a position, encoded.

    Attributes:
        settings: Hands the settings in force to peers.
        targets: Hands all targets that the store lists to peers.
    """

    def __init__(
        self,
        outside: environment.Environment,
        peers: source_peers.SourcePeers,
        read_settings: Callable[[bytes], catalogs.Catalog | str],
        find_settings: Callable[[int], bytes | None],
        find_targets: Callable[[store_position.StorePosition], bytes | None],
    ) -> None:
        self._outside = outside
        self._peers = peers
        self._read_settings = read_settings
        self.settings = document_exchange.DocumentExchange(
            peers.ask_settings, find_settings
        )
        self.targets = document_exchange.DocumentExchange(
            peers.ask_targets, find_targets
        )
        self._log = logs.make_logger("store")

    def is_reader(self) -> bool:
        """Returns whether this VM reads the store for its hall."""
        return proof.is_reader(self._peers.own, self._peers.rank_hall())

    def is_shared(self) -> bool:
        """Returns whether one VM of this hall reads the store for all."""
        return proof.is_shared(self._peers.rank_hall())

    def choose(self) -> list[str]:
        """Returns whom to ask: a reader first, and then any other VM."""
        own = self._peers.own
        ranked = [name for name in self._peers.rank_hall() if name != own]
        if not ranked:
            return []
        chance = self._outside.random
        first = chance.choice(ranked[: proof.READERS])
        rest = [name for name in ranked if name != first]
        return [first, *chance.sample(rest, min(len(rest), PEERS_ASKED - 1))]

    async def ask(
        self, peer: str, position: store_position.StorePosition
    ) -> store_changes.StoreChangesReply | None:
        """Returns a peer's news since a position, or None without any."""
        return await self._peers.ask(peer, position)

    async def complete(
        self,
        peer: str,
        found: store_changes.StoreChangesReply,
        own_revision: int,
    ) -> published.Changes | None:
        """Returns what a peer told, with all that the datagram does not hold.

        That is its settings where they are newer, and all of its targets where
        it could not tell what has changed.

        Args:
            peer: The peer.
            found: Its news.
            own_revision: Revision of the settings in force here.

        Returns:
            What was told, or None if the store is to be read for it.
        """
        listed = found.listed
        if not found.is_complete:
            listed = await self._fetch_targets(peer, found)
        if listed is None:
            return None
        catalog, document = None, b""
        if found.settings_revision > own_revision:
            fetched = await self.fetch_settings(peer, found.settings_revision)
            if fetched is None:
                return None
            catalog, document = fetched
        return published.Changes(
            store_position.StorePosition(found.epoch, found.position),
            catalog,
            listed,
            found.removed,
            (),
            document,
            tuple(
                published.MalformedEntry(
                    each, f"a peer could not read it: {peer}"
                )
                for each in found.malformed
            ),
        )

    async def fetch_settings(
        self, peer: str, revision: int
    ) -> tuple[catalogs.Catalog, bytes] | None:
        """Returns a peer's settings and their document, if they can be had."""
        document = await self.settings.fetch(peer, revision)
        if document is None:
            return None
        catalog = self._read_settings(document)
        if isinstance(catalog, str):
            self._log.warning("Peer's settings refused. {}", catalog)
            return None
        return catalog, document

    async def _fetch_targets(
        self, peer: str, found: store_changes.StoreChangesReply
    ) -> tuple[targets.Target, ...] | None:
        """Returns all of a peer's targets, if they can be had."""
        position = store_position.StorePosition(found.epoch, found.position)
        data = await self.targets.fetch(peer, position)
        if data is None:
            return None
        document = codec.decode(data)
        if not isinstance(document, document_part.TargetsDocument):
            self._log.warning("Peer's targets refused.", peer=peer)
            return None
        return document.listed
