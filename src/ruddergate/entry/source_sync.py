"""The task that follows what the platform's store publishes.

It alone writes the view's catalog and targets. Each successful call proves
that the view was the newest when the call began; keys rest on that proof.

In each hall one VM reads the store and the others ask it, see
decisions/proof.py: calls of the store do not grow with the fleet, and a VM
that the store turns away goes by its neighbours' proofs.
"""

import asyncio
from collections.abc import Callable
import dataclasses

from ruddergate import environment
from ruddergate.decisions import absence
from ruddergate.decisions import change_log
from ruddergate.decisions import proof
from ruddergate.decisions import settings_claims
from ruddergate.decisions import withdrawals
from ruddergate.entry import peer_source
from ruddergate.entry import scheduler as schedulers
from ruddergate.entry import source_pace
from ruddergate.entry import source_peers
from ruddergate.entry import store_reader
from ruddergate.entry import target_list
from ruddergate.entry import view as views
from ruddergate.fleet import store_position
from ruddergate.messages import document_part
from ruddergate.messages import store_changes
from ruddergate.relay import published
from ruddergate.settings import catalog as catalogs
from ruddergate.telemetry import logs
from ruddergate.wire import codec

# A turn never follows at once: what is left of a pause may round to nothing.
_PAUSE_LEAST_MS = 1.0
# Without news from peers they are asked again after this time, while the store
# is not asked yet again.
PEERS_AGAIN_MS = 300.0


class SourceSync:
    """Keeps the view up to date from a store, or from peers that read it.

    Args:
        outside: Clock and chance.
        source: Calls of the store.
        view: Is kept up to date.
        scheduler: Is told of each change.
        pace: How often the store is asked.
        peers: Peers that may have read it.
        withdrawn: Which lives of targets take no calls.
        note_listed: Is called when targets were listed.

    Attributes:
        settings: Hands the settings in force to peers.
        targets: Hands all targets that the store lists to peers.
    """

    def __init__(
        self,
        outside: environment.Environment,
        source: published.Source,
        view: views.View,
        scheduler: schedulers.Scheduler,
        pace: source_pace.Pace,
        peers: source_peers.SourcePeers,
        withdrawn: withdrawals.Withdrawals,
        note_listed: Callable[[], None] = lambda: None,
    ) -> None:
        self._peers = peer_source.PeerSource(
            outside,
            peers,
            source.read_settings,
            self._find_settings,
            self._find_targets,
        )
        self.settings = self._peers.settings
        self.targets = self._peers.targets
        self._reader = store_reader.StoreReader(
            outside, source, view, pace, self._find_age_ms
        )
        self._note_listed = note_listed
        self._outside = outside
        self._view = view
        self._scheduler = scheduler
        self._pace = pace
        self._position: store_position.StorePosition | None = None
        self._settings_document = b""
        # Whether the newest settings of the store could not be read.
        self._is_unreadable = False
        self._targets = target_list.TargetList(withdrawn)
        # When what is known was last proven to be the newest; at first, when
        # this VM began.
        self._proven_ms = outside.now_ms()
        # Until when targets are kept that lapsed in an outage.
        self._lapsed_until_ms = float("-inf")
        # When everything was last read.
        self._all_read_ms = float("-inf")
        self._grace_timer: asyncio.TimerHandle | None = None
        # When this VM saw that the store had been restored.
        self._restored_ms = float("-inf")
        self._is_history_lost = False
        self._changes = change_log.ChangeLog()
        self._claims = settings_claims.SettingsClaims()
        self._log = logs.make_logger("store")

    async def run(self) -> None:
        """Asks again and again until cancelled."""
        while True:
            began_ms = self._outside.now_ms()
            pause_ms = await self._take_turn()
            await self._fetch_claimed()
            pause_ms -= self._outside.now_ms() - began_ms
            await asyncio.sleep(max(_PAUSE_LEAST_MS, pause_ms) / 1000.0)

    def count_refused(self) -> int:
        """Returns how many entries were none of a target, in all."""
        return self._targets.refused

    def note_newer_settings(self, peer: str, revision: int) -> None:
        """Notes that a peer goes by later settings than this VM."""
        self._claims.note(peer, revision, self._outside.now_ms())

    def answer_news(
        self, wanted: store_changes.StoreChangesRequest
    ) -> store_changes.StoreChangesReply | None:
        """Returns what this VM knows, for a peer that follows it."""
        position = self._position
        if position is None:
            return None
        if wanted.epoch > position.epoch:
            self._is_history_lost = True
        step = None
        if wanted.epoch == position.epoch:
            step = self._changes.find_since(wanted.position, position.revision)
        told = store_changes.StoreChangesReply(
            wanted.correlation_id,
            position.revision,
            self._find_age_ms(),
            False,
            self._view.catalog.revision,
            epoch=position.epoch,
        )
        if step is None:
            return told
        return dataclasses.replace(
            told,
            is_complete=True,
            listed=step.listed,
            removed=step.gone,
            malformed=step.spoilt,
        )

    def _find_settings(self, revision: int) -> bytes | None:
        """Returns the settings in force, if they are of that revision."""
        if revision != self._view.catalog.revision:
            return None
        return self._settings_document

    def _find_targets(
        self, position: store_position.StorePosition
    ) -> bytes | None:
        """Returns all targets, if this VM knows them up to that position."""
        if position != self._position or self._is_unreadable:
            return None
        listed = self._targets.list_published()
        return codec.encode(document_part.TargetsDocument(listed))

    async def _take_turn(self) -> float:
        """Asks the store or peers; returns the time from turn to turn."""
        is_reading = self._peers.is_reader() or self._position is None
        if is_reading and self._reader.is_due() and await self._read_store():
            return self._find_every_ms(proof.READER_PART)
        if self._position is not None and await self._ask_peers():
            return self._find_every_ms(proof.FOLLOWER_PART)
        if self._reader.is_due() and await self._read_store():
            return self._find_every_ms(proof.FOLLOWER_PART)
        return min(PEERS_AGAIN_MS, self._reader.find_wait_ms())

    async def _read_store(self) -> bool:
        """Returns whether the store has answered."""
        is_urgent = self._peers.is_reader() and not self._is_fresh()
        pace = self._pace
        found = await self._reader.read(
            None if self._must_read_all() else self._position,
            pace.retry_most_ms if is_urgent else pace.follower_retry_most_ms,
        )
        if found is None:
            return False
        self._take(found.changes, found.asked_ms, found.since)
        return True

    def _must_read_all(self) -> bool:
        if self._is_history_lost:
            return True
        if self._find_age_ms() > self._pace.behind_ms:
            return True
        # Only a second read of everything tells which of them are written.
        read_ms = self._outside.now_ms() - self._all_read_ms
        return self._targets.has_stale() and read_ms > self._pace.stale_ms

    def _find_age_ms(self) -> float:
        return self._outside.now_ms() - self._proven_ms

    def _find_every_ms(self, part: float) -> float:
        """Returns the time from turn to turn.

        Args:
            part: The part of it that a VM takes in a hall with a reader.
        """
        since_ms = self._outside.now_ms() - self._restored_ms
        if since_ms < self._pace.restored_for_ms:
            return self._pace.restored_every_ms
        if self._peers.is_shared():
            return self._pace.every_ms * part
        return self._pace.every_ms

    async def _ask_peers(self) -> bool:
        """Returns whether a peer had a proof that is fresh enough."""
        for peer in self._peers.choose():
            asked_ms = self._outside.now_ms()
            position = self._position
            found = await self._peers.ask(peer, position)
            if found is None or found.epoch < position.epoch:
                # What it knows, the store has lost.
                continue
            proven_ms = proof.find_proven_ms(asked_ms, found.age_ms)
            if proven_ms is None:
                self._log.warning(
                    "News dropped, their age can't be true.", peer=peer
                )
                continue
            if _is_behind(found, position):
                if self._is_fresh():
                    return True
                if proven_ms > self._proven_ms:
                    # A store without epochs may have been restored.
                    return False
                continue
            changes = await self._peers.complete(
                peer, found, self._view.catalog.revision
            )
            if changes is None or self._is_vague(changes):
                return False
            is_since = found.is_complete and found.epoch == position.epoch
            self._take(changes, proven_ms, position if is_since else None)
            if self._is_fresh():
                return True
        return False

    def _is_vague(self, changes: published.Changes) -> bool:
        return any(map(self._targets.is_vague, changes.targets))

    def _is_fresh(self) -> bool:
        return proof.is_fresh(self._find_age_ms(), self._pace.every_ms)

    async def _fetch_claimed(self) -> None:
        """Gets the settings that a peer goes by and the store has lost."""
        own = self._view.catalog.revision
        claim = self._claims.find_unmet(own, self._proven_ms)
        if claim is None:
            return
        fetched = await self._peers.fetch_settings(claim.peer, claim.revision)
        if fetched is None or fetched[0].revision < claim.revision:
            self._log.warning(
                "Peer's settings can't be had.",
                peer=claim.peer,
                revision=claim.revision,
            )
            self._claims.reject(claim.peer, self._outside.now_ms())
            return
        self._log.info("Settings of a peer, as the store has lost them.")
        self._adopt_catalog(*fetched)
        self._confirm_settings(self._proven_ms)
        self._scheduler.post(schedulers.ViewChanged())

    def _take(
        self,
        changes: published.Changes,
        asked_ms: float,
        since: store_position.StorePosition | None,
    ) -> None:
        """Takes in what the store or a peer told.

        Args:
            changes: What was told.
            asked_ms: When it was certainly the newest.
            since: The position behind which it begins; None for everything.
        """
        # Nobody could prove anything while the store was away. Answers of peers
        # come all the while, so an outage is a gap between proofs. A restore is
        # one as well: entries may be missing until they are written again.
        now_ms = self._outside.now_ms()
        is_restored = self._is_restored(changes.position)
        if is_restored or asked_ms - self._proven_ms > self._pace.outage_ms:
            away_ms = max(self._proven_ms, self._reader.failed_ms)
            self._lapsed_until_ms = absence.find_end_ms(
                now_ms, away_ms, is_restored
            )
        if is_restored:
            self._targets.note_restored()
            self._restored_ms = now_ms
        grace = target_list.Grace(
            self._lapsed_until_ms, now_ms + self._pace.spoilt_grace_ms
        )
        self._proven_ms = max(self._proven_ms, asked_ms)
        for problem in changes.problems:
            self._log.warning("Published item refused. {}", problem)
        if since is None:
            self._is_history_lost = False
            self._all_read_ms = now_ms
        self._take_catalog(changes, asked_ms)
        self._note_step(changes, since)
        self._move_to(changes.position)
        self._take_targets(changes, since is None, asked_ms, grace)

    def _is_restored(self, position: store_position.StorePosition) -> bool:
        """Returns whether a position tells that the store was restored."""
        known = self._position
        if known is None:
            return False
        return position.epoch > known.epoch or position < known

    def _move_to(self, position: store_position.StorePosition) -> None:
        """Notes up to where this VM knows the store."""
        if self._is_restored(position):
            self._log.warning(
                "Store restored from a copy.",
                store_epoch=position.epoch,
                store_revision=position.revision,
                **self._view.store_position.describe(),
            )
        self._position = position
        self._view.store_position = position

    def _note_step(
        self,
        changes: published.Changes,
        since: store_position.StorePosition | None,
    ) -> None:
        """Keeps the changes for peers that ask for them."""
        if since is None:
            self._changes.restart()
            return
        self._changes.note(
            change_log.Step(
                since.revision,
                changes.position.revision,
                bool(changes.problems),
                changes.targets,
                changes.removed,
                tuple(each.target_id for each in changes.malformed),
            )
        )

    def _take_catalog(
        self, changes: published.Changes, asked_ms: float
    ) -> None:
        if changes.problems or changes.catalog is not None:
            self._is_unreadable = bool(changes.problems)
        if changes.catalog is not None:
            self._adopt_catalog(changes.catalog, changes.document)
        if not changes.problems:
            self._confirm_settings(asked_ms)

    def _adopt_catalog(
        self, catalog: catalogs.Catalog, document: bytes
    ) -> None:
        """Goes by settings, unless later ones are in force."""
        if not self._view.take_catalog(catalog):
            return
        self._settings_document = document
        self._log.info(
            "Settings {} in force.",
            catalog.revision,
            routes=len(catalog),
            workspaces=len(catalog.workspaces),
            **self._view.store_position.describe(),
        )

    def _confirm_settings(self, asked_ms: float) -> None:
        """Notes that nothing newer was published, if a read can prove it."""
        own = self._view.catalog.revision
        is_known = self._claims.find_unmet(own, asked_ms) is None
        if is_known and asked_ms >= self._restored_ms + self._pace.rewrite_ms:
            self._view.confirm_settings(asked_ms)

    def _take_targets(
        self,
        changes: published.Changes,
        is_all: bool,
        asked_ms: float,
        grace: target_list.Grace,
    ) -> None:
        now_ms = self._outside.now_ms()
        self._targets.take(changes, is_all, now_ms, grace)
        self._await_grace_end()
        self._publish(asked_ms)
        self._note_listed()

    def mark_leaving(self) -> None:
        """Has the view go by what other ways told of targets that leave."""
        self._publish(self._proven_ms)

    def _await_grace_end(self) -> None:
        if self._grace_timer is not None:
            self._grace_timer.cancel()
            self._grace_timer = None
        until_ms = self._targets.find_grace_end_ms()
        if until_ms is None:
            return
        grace_ms = until_ms - self._outside.now_ms()
        grace_ms = max(_PAUSE_LEAST_MS, grace_ms)
        self._grace_timer = asyncio.get_running_loop().call_later(
            grace_ms / 1000.0, self._end_grace
        )

    def _end_grace(self) -> None:
        """Takes off what has not come back, without waiting for the store.

        Its next answer may be a round away, and a target that has left is to
        get no calls for longer than it must.
        """
        self._targets.forget_lapsed(self._outside.now_ms())
        self._await_grace_end()
        self._publish(self._proven_ms)

    def _publish(self, asked_ms: float) -> None:
        """Has the view and the scheduler go by the list as it is now."""
        self._view.take_targets(self._targets.listed(), asked_ms)
        self._scheduler.post(schedulers.ViewChanged())


def _is_behind(
    found: store_changes.StoreChangesReply,
    position: store_position.StorePosition,
) -> bool:
    """Returns whether a peer has read less of the same epoch."""
    is_same = found.epoch == position.epoch
    return is_same and found.position < position.revision
