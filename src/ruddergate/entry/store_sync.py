"""The task that keeps the view in sync with the platform's store.

It is the only writer of the view's catalog and targets. A read that reaches the
store's position shows that the view was current when it began; whether an API
key may still be used depends on how long ago that was.

In each hall one VM reads the store and the others ask it, see
decisions/freshness.py. So the number of calls to the store does not grow with
the fleet, and a VM that the store rejects relies on what its peers have read.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import enum
import math

from ruddergate import environment
from ruddergate.decisions import change_log
from ruddergate.decisions import draining
from ruddergate.decisions import freshness
from ruddergate.decisions import outage_grace
from ruddergate.decisions import settings_claims
from ruddergate.entry import peer_reader
from ruddergate.entry import poll_config
from ruddergate.entry import scheduler as schedulers
from ruddergate.entry import staleness
from ruddergate.entry import start_check
from ruddergate.entry import store_catch_up
from ruddergate.entry import store_peers
from ruddergate.entry import store_reader
from ruddergate.entry import target_list
from ruddergate.entry import view as views
from ruddergate.fleet import store_position
from ruddergate.messages import document_part
from ruddergate.messages import store_changes
from ruddergate.relay import published
from ruddergate.settings import catalog as catalogs
from ruddergate.telemetry import logs
from ruddergate.telemetry import metrics as metric_types
from ruddergate.wire import codec

# What is left of a pause may round to zero, and the loop would not yield.
_MIN_PAUSE_MS = 1.0
# While the next call to the store is not due, peers that had no current reply
# are asked again after this time.
PEER_RETRY_MS = 300.0
# Where settings come from that no peer handed on, in logs.
_STORE = "store"


class _PeerResult(enum.StrEnum):
    """What came of a request to a peer."""

    APPLIED = "applied"
    BEHIND = "behind"
    NO_REPLY = "no_reply"
    OLDER_EPOCH = "older_epoch"
    INVALID = "invalid"
    STARTING = "starting"
    # Only the store itself can tell what holds.
    CONTRADICTS = "contradicts"
    INCOMPLETE = "incomplete"


_USABLE_RESULTS = (
    _PeerResult.APPLIED,
    _PeerResult.BEHIND,
    _PeerResult.CONTRADICTS,
)
_STORE_RESULTS = (_PeerResult.CONTRADICTS, _PeerResult.INCOMPLETE)


class StoreSync:
    """Updates the view from the store, or from peers that have read it.

    Args:
        env: Clock and random numbers.
        source: Calls to the store.
        view: The view to update.
        scheduler: Notified of each change.
        polling: How often the store is polled.
        peers: Requests to peers that may have read the store.
        drain_state: Which incarnations of targets accept no requests.
        metrics: Counts calls of the store.
        on_listed: Called after the list of targets was updated.

    Attributes:
        settings: Serves the settings in force to peers.
        targets: Serves all targets that the store lists to peers.
    """

    def __init__(
        self,
        env: environment.Environment,
        source: published.Source,
        view: views.View,
        scheduler: schedulers.Scheduler,
        polling: poll_config.PollConfig,
        peers: store_peers.StorePeers,
        drain_state: draining.DrainState,
        metrics: metric_types.EntryMetrics,
        on_listed: Callable[[], None] = lambda: None,
    ) -> None:
        self._peers = peer_reader.PeerReader(
            env,
            peers,
            source.read_settings,
            self._find_settings,
            self._find_targets,
        )
        self.settings = self._peers.settings
        self.targets = self._peers.targets
        self._reader = store_reader.StoreReader(
            env, source, view, polling, self._find_age_ms, metrics
        )
        self._catch_up = store_catch_up.StoreCatchUp(
            env, self._reader, self._apply, metrics
        )
        self._source = source
        self._on_listed = on_listed
        self._env = env
        self._view = view
        self._scheduler = scheduler
        self._polling = polling
        self._position: store_position.StorePosition | None = None
        self._settings_document = b""
        # Whether the latest settings in the store could not be parsed.
        self._is_unreadable = False
        self._targets = target_list.TargetList(drain_state)
        # What is known of the view; at first the time at which this VM started.
        self._as_of = freshness.AsOf(env.now_ms(), env.now_ms())
        # Targets whose entries expired in an outage are kept until this time.
        self._removed_until_ms = float("-inf")
        # Time of the last full read.
        self._full_read_ms = float("-inf")
        self._grace_timer: asyncio.TimerHandle | None = None
        # When this VM noticed that the store had been restored from a copy.
        self._restored_ms = float("-inf")
        self._is_history_lost = False
        self._changes = change_log.ChangeLog()
        self._claims = settings_claims.SettingsClaims()
        self._metrics = metrics
        # The poll that is under way or was the last one.
        self._poll_began_ms = env.now_ms()
        self._is_polling = False
        self._log = logs.make_logger("store")
        if self._peers.list_seeds():
            view.keys_released.clear()

    async def run(self) -> None:
        """Polls the store or peers until cancelled."""
        while True:
            began_ms = self._env.now_ms()
            self._poll_began_ms = began_ms
            self._is_polling = True
            pause_ms = await self._poll()
            await self._ask_at_start()
            await self._fetch_claimed_settings()
            self._is_polling = False
            pause_ms -= self._env.now_ms() - began_ms
            await asyncio.sleep(max(_MIN_PAUSE_MS, pause_ms) / 1000.0)

    async def watch_staleness(self) -> None:
        """Logs when this VM falls behind the store, until cancelled."""
        await staleness.watch(
            self._env,
            self._find_age_ms,
            self._polling.full_read_age_ms,
            self._describe,
        )

    def _describe(self) -> dict[str, object]:
        """Returns what this VM knows and how it reads, for logs."""
        now_ms = self._env.now_ms()
        return {
            "settings": self._view.catalog.revision,
            "is_reader": self._peers.is_reader(),
            "is_polling": self._is_polling,
            "poll_began_ms_ago": round(now_ms - self._poll_began_ms),
            "store_answered_ms_ago": round(now_ms - self._as_of.answered_ms),
            **self._view.store_position.describe(),
        }

    def count_refused(self) -> int:
        """Returns how many entries did not describe a target, in total."""
        return self._targets.refused

    def count_hedged(self) -> int:
        """Returns how many calls were made beside one that was not answered."""
        return self._source.count_hedged()

    def note_newer_settings(self, peer: str, revision: int) -> None:
        """Records that a peer uses a later settings revision than this VM."""
        self._claims.note(peer, revision, self._env.now_ms())

    def answer_changes_request(
        self, request: store_changes.StoreChangesRequest
    ) -> store_changes.StoreChangesReply | None:
        """Returns the changes that this VM knows, for a peer that follows."""
        if self._is_unreadable:
            # Without a reply the peer reads the store, and finds out as well
            # that the latest settings can't be parsed.
            return None
        position = self._position
        if position is None or not self._view.keys_released.is_set():
            # This VM can't tell whether the store lacks settings. A peer that
            # has just started, too, would take them for confirmed.
            return _make_reply_at_start(request)
        if request.epoch > position.epoch:
            self._is_history_lost = True
        step = None
        if request.epoch == position.epoch:
            step = self._changes.find_since(request.revision, position.revision)
        reply = store_changes.StoreChangesReply(
            request.correlation_id,
            position.revision,
            self._find_age_ms(),
            False,
            self._view.catalog.revision,
            epoch=position.epoch,
            answered_age_ms=self._env.now_ms() - self._as_of.answered_ms,
        )
        if step is None:
            return reply
        return dataclasses.replace(
            reply,
            is_complete=True,
            listed=step.listed,
            removed=step.removed,
            malformed=step.malformed,
        )

    def _find_settings(self, revision: int) -> bytes | None:
        """Returns the settings document if that revision is in force."""
        if revision != self._view.catalog.revision:
            return None
        return self._settings_document

    def _find_targets(
        self, position: store_position.StorePosition
    ) -> bytes | None:
        """Returns all targets if this VM is exactly at that position."""
        if position != self._position or self._is_unreadable:
            return None
        listed = self._targets.list_published()
        return codec.encode(document_part.TargetsDocument(listed))

    async def _poll(self) -> float:
        """Asks the store or peers; returns the interval to the next poll."""
        is_reading = self._peers.is_reader() or self._position is None
        if is_reading and self._reader.is_due() and await self._read_store():
            return self._find_interval_ms(freshness.READER_INTERVAL_FACTOR)
        if await self._read_peers(self._peers.choose):
            return self._find_interval_ms(freshness.FOLLOWER_INTERVAL_FACTOR)
        if self._reader.is_due() and await self._read_store():
            return self._find_interval_ms(freshness.FOLLOWER_INTERVAL_FACTOR)
        # The store may reject all VMs of a hall.
        if await self._read_peers(self._peers.choose_elsewhere):
            return self._find_interval_ms(freshness.FOLLOWER_INTERVAL_FACTOR)
        return min(PEER_RETRY_MS, self._reader.find_wait_ms())

    async def _read_store(self) -> bool:
        """Reads the store; returns whether this VM is current then."""
        is_urgent = self._peers.is_reader() and not self._is_fresh()
        polling = self._polling
        retry_max_ms = (
            polling.retry_max_ms if is_urgent else polling.follower_retry_max_ms
        )
        if self._position is None or self._needs_full_read():
            return await self._catch_up.read_all(retry_max_ms)
        return await self._catch_up.read_changes(self._position, retry_max_ms)

    def _needs_full_read(self) -> bool:
        if self._is_history_lost:
            return True
        if self._find_age_ms() > self._polling.full_read_age_ms:
            return True
        # Only another full read shows which stale entries were rewritten.
        since_read_ms = self._env.now_ms() - self._full_read_ms
        return (
            self._targets.has_stale()
            and since_read_ms > self._polling.stale_reread_ms
        )

    def _find_age_ms(self) -> float:
        return self._env.now_ms() - self._as_of.current_ms

    def _find_interval_ms(self, share: float) -> float:
        """Returns the interval to the next poll.

        Args:
            share: Share of the interval that applies in a hall with a reader.
        """
        since_ms = self._env.now_ms() - self._restored_ms
        if since_ms < self._polling.restored_phase_ms:
            return self._polling.restored_interval_ms
        if self._peers.is_shared():
            return self._polling.interval_ms * share
        return self._polling.interval_ms

    async def _read_peers(self, choose: Callable[[], Sequence[str]]) -> bool:
        """Reads from peers; returns whether the view is fresh after that."""
        if self._position is None:
            return False
        for peer in choose():
            result = await self._read_peer(peer)
            self._metrics.peer_reads.inc({"result": result.value})
            if self._is_fresh() and result in _USABLE_RESULTS:
                return True
            if result in _STORE_RESULTS:
                return False
        return False

    async def _read_peer(self, peer: str) -> _PeerResult:
        """Requests the changes that a peer knows, and applies them."""
        asked_ms = self._env.now_ms()
        position = self._position
        reply = await self._peers.request_changes(peer, position)
        if reply is None:
            return _PeerResult.NO_REPLY
        if reply.age_ms == store_changes.AGE_UNKNOWN:
            return _PeerResult.STARTING
        if reply.epoch < position.epoch:
            # The peer is in an older epoch: the store was restored since, and
            # may have lost what the peer knows.
            return _PeerResult.OLDER_EPOCH
        as_of = freshness.find_as_of(
            asked_ms, reply.age_ms, reply.answered_age_ms
        )
        if as_of is None:
            self._log.warning(
                "Ignoring peer's changes: their age is invalid.", peer=peer
            )
            return _PeerResult.INVALID
        if _is_behind(reply, position):
            if as_of.current_ms > self._as_of.answered_ms:
                # The peer was current later than the store answered this VM,
                # and is at a lower revision: a store without epochs may have
                # been restored, so only the store itself can tell.
                return _PeerResult.CONTRADICTS
            return _PeerResult.BEHIND
        changes = await self._peers.complete(
            peer, reply, self._view.catalog.revision
        )
        if changes is None or self._lacks_incarnation(changes):
            return _PeerResult.INCOMPLETE
        is_delta = reply.is_complete and reply.epoch == position.epoch
        self._apply(changes, as_of, position if is_delta else None, peer)
        return _PeerResult.APPLIED

    def _lacks_incarnation(self, changes: published.Changes) -> bool:
        return any(map(self._targets.lacks_incarnation, changes.targets))

    def _is_fresh(self) -> bool:
        return freshness.is_fresh(
            self._find_age_ms(), self._polling.interval_ms
        )

    async def _ask_at_start(self) -> None:
        """Asks peers for later settings than those first read."""
        position = self._position
        if position is None or self._view.keys_released.is_set():
            return
        await start_check.ask(
            self._peers.list_seeds(),
            self._peers.list_at_start,
            lambda peer: self._peers.request_at_start(peer, position),
            self._note_reply_at_start,
        )

    def _note_reply_at_start(
        self, peer: str, reply: store_changes.StoreChangesReply
    ) -> bool:
        """Notes a peer's settings; returns whether others need not be asked."""
        if reply.settings_revision > self._view.catalog.revision:
            self.note_newer_settings(peer, reply.settings_revision)
            return True
        # Another peer may know settings that one behind the store lacks.
        return 0.0 <= reply.age_ms <= self._polling.full_read_age_ms

    async def _fetch_claimed_settings(self) -> None:
        """Fetches settings that a peer uses and the store has lost."""
        if self._position is None:
            return
        own = self._view.catalog.revision
        is_start = not self._view.keys_released.is_set()
        # At the start a claim counts whenever it came: the first read can't
        # show whether the store has lost what the peer knows.
        read_ms = math.inf if is_start else self._as_of.current_ms
        claim = self._claims.find_unconfirmed(own, read_ms)
        if claim is None:
            self._view.keys_released.set()
            return
        fetched = await self._peers.fetch_settings(claim.peer, claim.revision)
        if fetched is None or fetched[0].revision < claim.revision:
            self._log.warning(
                "Could not fetch settings from peer.",
                peer=claim.peer,
                revision=claim.revision,
            )
            self._claims.reject(claim.peer, self._env.now_ms())
            return
        self._log.info("Using settings of a peer, as the store has lost them.")
        self._adopt_catalog(*fetched, claim.peer)
        self._confirm_settings(self._as_of.current_ms)
        self._view.keys_released.set()
        self._scheduler.post(schedulers.ViewChanged())

    def _apply(
        self,
        changes: published.Changes,
        as_of: freshness.AsOf,
        since: store_position.StorePosition | None,
        source: str = _STORE,
    ) -> None:
        """Applies changes from the store or a peer.

        Args:
            changes: The changes.
            as_of: Times of what they show.
            since: The position after which they start; None for a full read.
            source: The peer, or the store.
        """
        # The store answers nobody while it is down, but peers keep replying. So
        # an outage is a gap in the times at which it answered, and not in those
        # as of which the view is current: this VM may have been behind. A
        # restore counts as an outage, too: entries may be missing until they
        # are written again.
        now_ms = self._env.now_ms()
        is_restored = self._is_restored(changes.position)
        unanswered_ms = as_of.answered_ms - self._as_of.answered_ms
        if is_restored or unanswered_ms > self._polling.outage_ms:
            away_ms = max(self._as_of.answered_ms, self._reader.failed_ms)
            self._removed_until_ms = outage_grace.find_grace_end_ms(
                now_ms, away_ms, is_restored
            )
        if is_restored:
            self._targets.note_restored()
            self._restored_ms = now_ms
        grace = target_list.Grace(
            self._removed_until_ms,
            now_ms + self._polling.malformed_grace_ms,
        )
        self._as_of = self._as_of.merge(as_of)
        for problem in changes.problems:
            self._metrics.rejected_settings.inc({})
            self._log.warning("Rejected published item. {}", problem)
        if since is None:
            self._is_history_lost = False
            self._full_read_ms = now_ms
        self._apply_catalog(changes, as_of.current_ms, source)
        self._record_changes(changes, since)
        self._set_position(changes.position)
        self._apply_targets(changes, since is None, grace)

    def _is_restored(self, position: store_position.StorePosition) -> bool:
        """Returns whether a position shows that the store was restored."""
        known = self._position
        if known is None:
            return False
        return position.epoch > known.epoch or position < known

    def _set_position(self, position: store_position.StorePosition) -> None:
        """Sets the position in the store that this VM has reached."""
        if self._is_restored(position):
            self._log.warning(
                "Store was restored from a copy.",
                store_epoch=position.epoch,
                store_revision=position.revision,
                **self._view.store_position.describe(),
            )
        self._position = position
        self._view.store_position = position

    def _record_changes(
        self,
        changes: published.Changes,
        since: store_position.StorePosition | None,
    ) -> None:
        """Records the changes for peers that request them."""
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

    def _apply_catalog(
        self, changes: published.Changes, as_of_ms: float, source: str
    ) -> None:
        if changes.problems or changes.catalog is not None:
            self._is_unreadable = bool(changes.problems)
        if changes.catalog is not None:
            self._adopt_catalog(changes.catalog, changes.document, source)
        self._confirm_settings(as_of_ms)

    def _adopt_catalog(
        self, catalog: catalogs.Catalog, document: bytes, source: str
    ) -> None:
        """Applies settings unless later ones are in force."""
        if not self._view.apply_catalog(catalog):
            return
        self._settings_document = document
        self._log.info(
            "Settings {} in force.",
            catalog.revision,
            routes=len(catalog),
            keys=len(catalog.workspaces),
            requires_keys=catalog.requires_keys,
            source=source,
            age_ms=round(self._find_age_ms()),
            **self._view.store_position.describe(),
        )

    def _confirm_settings(self, as_of_ms: float) -> None:
        """Records that the settings are current, if a read can show it.

        Not while later ones could not be parsed or are known only to a peer, or
        a restored store may lack some.
        """
        if self._is_unreadable:
            return
        own = self._view.catalog.revision
        is_known = self._claims.find_unconfirmed(own, as_of_ms) is None
        if (
            is_known
            and as_of_ms >= self._restored_ms + self._polling.rewrite_ms
        ):
            self._view.confirm_settings(as_of_ms)

    def _apply_targets(
        self,
        changes: published.Changes,
        is_full: bool,
        grace: target_list.Grace,
    ) -> None:
        now_ms = self._env.now_ms()
        self._targets.apply_changes(changes, is_full, now_ms, grace)
        self._start_grace_timer()
        self._publish_targets()
        self._on_listed()

    def mark_draining(self) -> None:
        """Updates the view after a change of `drain_state`."""
        self._publish_targets()

    def _start_grace_timer(self) -> None:
        if self._grace_timer is not None:
            self._grace_timer.cancel()
            self._grace_timer = None
        until_ms = self._targets.find_grace_end_ms()
        if until_ms is None:
            return
        grace_ms = until_ms - self._env.now_ms()
        grace_ms = max(_MIN_PAUSE_MS, grace_ms)
        self._grace_timer = asyncio.get_running_loop().call_later(
            grace_ms / 1000.0, self._end_grace
        )

    def _end_grace(self) -> None:
        """Drops targets that were not listed again in time.

        This does not wait for the store's next response, which may be a whole
        poll away: a removed target must get no requests longer than necessary.
        """
        self._targets.drop_expired(self._env.now_ms())
        self._start_grace_timer()
        self._publish_targets()

    def _publish_targets(self) -> None:
        """Hands the current list to the view and the scheduler."""
        self._view.apply_targets(
            self._targets.list_targets(), self._as_of.current_ms
        )
        self._scheduler.post(schedulers.ViewChanged())


def _make_reply_at_start(
    request: store_changes.StoreChangesRequest,
) -> store_changes.StoreChangesReply:
    """Returns the reply of a VM that does not know what is current."""
    return store_changes.StoreChangesReply(
        request.correlation_id,
        0,
        store_changes.AGE_UNKNOWN,
        is_complete=False,
    )


def _is_behind(
    reply: store_changes.StoreChangesReply,
    position: store_position.StorePosition,
) -> bool:
    """Returns whether a peer is at a lower revision of the same epoch."""
    is_same = reply.epoch == position.epoch
    return is_same and reply.revision < position.revision
