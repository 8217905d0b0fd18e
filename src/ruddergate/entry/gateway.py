"""An entry that follows the platform's store itself and passes calls on.

It needs no agent: what one VM must know, the store publishes, and what all of
them must keep together, each keeps by its own part. Peers tell each other their
load, and every promise holds without them.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses

from ruddergate import _private
from ruddergate import environment
from ruddergate import outcomes
from ruddergate.decisions import retries
from ruddergate.decisions import withdrawals
from ruddergate.entry import canceller as cancellers
from ruddergate.entry import config as configs
from ruddergate.entry import leaving_check
from ruddergate.entry import life_watch
from ruddergate.entry import open_calls
from ruddergate.entry import peer_exchange
from ruddergate.entry import peer_questions
from ruddergate.entry import placement
from ruddergate.entry import rate_limiter
from ruddergate.entry import relay_admit
from ruddergate.entry import relay_handler
from ruddergate.entry import reservation_keeper
from ruddergate.entry import retry_loans
from ruddergate.entry import scheduler as schedulers
from ruddergate.entry import source_pace
from ruddergate.entry import source_peers
from ruddergate.entry import source_sync
from ruddergate.entry import status
from ruddergate.entry import suspect_exchange
from ruddergate.entry import target_notices
from ruddergate.entry import tools as tool_types
from ruddergate.entry import view as views
from ruddergate.fleet import store_position
from ruddergate.fleet import target as targets
from ruddergate.http import message
from ruddergate.http import server as http_server
from ruddergate.messages import document_part
from ruddergate.messages import retry_transfer
from ruddergate.messages import store_changes
from ruddergate.relay import caller_protocol as caller_protocols
from ruddergate.relay import hints as hint_types
from ruddergate.relay import orders
from ruddergate.relay import published
from ruddergate.relay import upstream_request as upstream_requests
from ruddergate.telemetry import logs
from ruddergate.telemetry import metrics as metric_types
from ruddergate.telemetry import traces

_POLL_MS = 20.0
_OK = 200
_UNAVAILABLE = 503


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayConfig:
    """Settings of a gateway besides those of any entry.

    Attributes:
        ready_listen: Where the balancer asks whether this VM takes callers.
        metrics_listen: Where metrics are served.
        settings_age_max_ms: Oldest settings by which a key may be used; without
            bound where a removed key may be used until a VM hears of it.
        ready_age_max_ms: Oldest settings with which new callers are taken.
        certain_age_max_ms: Oldest settings by which an unknown route or key is
            certainly unknown.
        stop_lag_ms: Time for the balancer to see that this VM stops.
        stop_limit_ms: Time after which a planned stop ends with calls open.
        pace: How often the store is asked.
        retry_share: Second sends allowed for each first one.
        retry_slack: Second sends that the fleet may make besides.
        peers: Where peers are found.
    """

    ready_listen: environment.Address
    metrics_listen: environment.Address
    settings_age_max_ms: float
    ready_age_max_ms: float
    certain_age_max_ms: float
    stop_lag_ms: float
    stop_limit_ms: float
    pace: source_pace.Pace
    retry_share: float
    retry_slack: float
    peers: peer_exchange.PeerConfig


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """What a platform's adapter provides.

    Attributes:
        door: How callers are understood and answered.
        make_send: Returns what sends a call to a target, given what is to
            hear whatever targets say of themselves.
        make_orders: Returns the orders that targets take, given the same.
        source: Calls of the store.
    """

    caller_protocol: caller_protocols.CallerProtocol
    make_send: Callable[[hint_types.OnHints], upstream_requests.Send]
    make_orders: Callable[[hint_types.OnHints], orders.Orders]
    source: published.Source


class Gateway:
    """One gateway process; `run` returns when its planned stop is over."""

    def __init__(
        self,
        outside: environment.Environment,
        config: configs.EntryConfig,
        gateway_config: GatewayConfig,
        platform: Platform,
        tracer: traces.Tracer,
    ) -> None:
        self._outside = outside
        self._config = config
        self._gateway_config = gateway_config
        self._log = logs.make_logger("entry")
        self._is_stopping = False
        self._connections = http_server.Connections()
        self._open = open_calls.OpenCalls(
            platform.caller_protocol.write_failure
        )
        view = views.View()
        withdrawn = withdrawals.Withdrawals()
        metrics = metric_types.EntryMetrics()
        self._rate_limiter = rate_limiter.RateLimiter(
            outside,
            str(gateway_config.peers.listen),
            lambda now_ms: self._peers.loads.list_members(now_ms),
            lambda target_id: self.tools.scheduler.find_target(target_id),
            lambda pool: self.tools.scheduler.find_halls(pool),
            lambda: self._peers.note_change(),
            metrics,
        )
        scheduler = schedulers.Scheduler(
            outside,
            config,
            view,
            lambda: self._peers.note_change(),
            lambda: self._peers.collect_sums(),
            lambda: self._peers.is_blind(),
            lambda: self._peers.loads.collect_lost(),
            withdrawn=withdrawn,
            limits=self._rate_limiter.limits,
        )
        self._suspects = suspect_exchange.SuspectExchange(
            outside,
            gateway_config.peers.listen,
            lambda: self._peers.loads.names(),
            lambda told, peers: self._peers.tell_suspects(told, peers),
        )
        self._notices = target_notices.TargetNotices(
            outside, withdrawn, metrics, self._note_leaving
        )
        self.tools = tool_types.Tools(
            outside=outside,
            config=config,
            incarnation=environment.make_token(outside.random),
            began_ms=outside.now_ms(),
            view=view,
            scheduler=scheduler,
            canceller=cancellers.Canceller(outside, view),
            budget=retries.Budget(gateway_config.retry_share, 0.0, 0.0),
            metrics=metrics,
            tracer=tracer,
            suspects=self._suspects.table,
            secure_retry=lambda is_large: self._loans.secure(is_large),
            note_lost=lambda lost: self._lives.post(lost),
            refuse_send=self._refuse_send,
            admit=self._rate_limiter.admit,
            give_back=self._rate_limiter.give_back,
        )
        self._orders = platform.make_orders(self._observe)
        self._keeper = reservation_keeper.ReservationKeeper(
            outside,
            self._rate_limiter.charge_orders(self._orders),
            view.is_over,
            lambda target: scheduler.post(placement.LifeEnded(target)),
            self._rate_limiter.limits.is_limited,
        )
        self._leaving_check = leaving_check.LeavingCheck(
            outside,
            withdrawn,
            view,
            self._keeper.probe,
            lambda: self._sync.mark_leaving(),
            metrics,
        )
        self._lives = life_watch.LifeWatch(
            self._keeper.probe,
            self._suspects.table.note_ended,
            lambda target: scheduler.post(placement.LifeEnded(target)),
            self.tools.metrics,
        )
        self._handler = relay_handler.RelayHandler(
            self.tools,
            platform.caller_protocol,
            platform.make_send(self._observe),
            self._keeper,
            relay_admit.Trust(
                gateway_config.settings_age_max_ms,
                gateway_config.certain_age_max_ms,
            ),
        )
        self._peers = peer_exchange.PeerExchange(
            outside,
            gateway_config.peers,
            config.hall,
            self.tools.incarnation,
            scheduler.summarize,
            self._divide_retries,
            self.answer_peer,
            scheduler.summarize_lost,
            self._suspects.take,
            self._greet,
            summarize_leaving=self._notices.summarize,
            take_leaving=self._notices.take_told,
            summarize_rate_limits=self._rate_limiter.summarize,
            merge_rate_limits=self._rate_limiter.merge,
            find_settings_revision=lambda: view.catalog.revision,
            note_newer_settings=self.note_newer_settings,
        )
        self._loans = retry_loans.RetryLoans(
            outside,
            self.tools.budget,
            self._peers.questions,
            self._peers.find_hall_peers,
        )
        self._vms_most = 1
        self._divide_retries(0)
        self._sync = source_sync.SourceSync(
            outside,
            platform.source,
            view,
            scheduler,
            gateway_config.pace,
            source_peers.SourcePeers(
                self._peers.rank_hall,
                str(gateway_config.peers.listen),
                self._peers.questions.ask_news,
                self._peers.questions.ask_settings,
                self._peers.questions.ask_targets,
            ),
            withdrawn,
            self._leaving_check.look,
        )

    def _observe(self, said: hint_types.Hints) -> None:
        """Takes in what a target says of itself in an answer."""
        self._notices.hear(said)
        self._rate_limiter.observe(said)

    def _refuse_send(
        self, asked: Sequence[targets.Target]
    ) -> outcomes.NotServed | None:
        """Returns a refusal if a target or a helper takes no calls now."""
        refusal = self._notices.refuse_send(asked)
        return refusal or self._rate_limiter.refuse_helpers(asked[1:])

    def answer_peer(
        self, question: peer_questions.Question
    ) -> peer_questions.Answer | None:
        """Returns the answer to a peer's question, if there is one."""
        match question:
            case store_changes.StoreChangesRequest():
                return self._sync.answer_news(question)
            case document_part.SettingsRequest():
                return self._sync.settings.answer(
                    question.correlation_id, question.revision, question.part
                )
            case document_part.TargetsRequest():
                position = store_position.StorePosition(
                    question.epoch, question.revision
                )
                return self._sync.targets.answer(
                    question.correlation_id, position, question.part
                )
            case retry_transfer.RetryTransferRequest():
                lent = self.tools.budget.lend(
                    question.retries, question.is_large
                )
                return retry_transfer.RetryTransferReply(
                    question.correlation_id, lent
                )

    def note_newer_settings(self, peer: str, revision: int) -> None:
        """Takes in that a peer goes by later settings than this VM."""
        self._sync.note_newer_settings(peer, revision)

    def _greet(self, peer: str) -> None:
        """Tells a VM that has just started what it should know."""
        self._suspects.greet(peer)
        self._notices.greet(len(self._peers.loads))

    def _note_leaving(self) -> None:
        """Has a target that was found to leave marked, and peers told."""
        self._sync.mark_leaving()
        self._leaving_check.look()
        self._peers.note_change()

    def _divide_retries(self, peers: int) -> None:
        """Sizes this VM's part of the fleet's second sends."""
        self._vms_most = max(self._vms_most, peers + 1)
        slack = self._gateway_config.retry_slack
        most = retries.find_saved_most(slack, self._vms_most)
        self.tools.budget.resize(most)

    async def run(self, stop: asyncio.Event) -> None:
        """Serves until `stop` is set, then ends as planned."""
        tasks = [
            asyncio.ensure_future(self.tools.scheduler.run()),
            asyncio.ensure_future(self._sync.run()),
            asyncio.ensure_future(self._peers.run()),
            asyncio.ensure_future(self._suspects.run()),
            asyncio.ensure_future(self._leaving_check.run()),
            asyncio.ensure_future(self._rate_limiter.run(self._orders.probe)),
        ]
        servers = [
            await self._serve(
                self._answer_ready, self._gateway_config.ready_listen
            ),
            await self._serve(
                self._answer_metrics, self._gateway_config.metrics_listen
            ),
        ]
        callers = await self._outside.serve(
            self._serve_caller, self._config.listen
        )
        self._log.info(
            "Serving callers at {}.",
            self._config.listen,
            key_age_max_ms=self._gateway_config.settings_age_max_ms,
            ready_age_max_ms=self._gateway_config.ready_age_max_ms,
        )
        try:
            await _private.wait_beside(stop.wait(), tasks)
            await self._stop(callers)
        finally:
            for server in (*servers, callers):
                server.close()
            for task in tasks:
                task.cancel()
            self.tools.tracer.close()

    async def _serve(
        self, handle: open_calls.Handle, address: environment.Address
    ) -> asyncio.Server:
        handler = http_server.make_stream_handler(handle, self._config.limits)
        return await self._outside.serve(handler, address)

    async def _serve_caller(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection, by the limits in force when it comes up."""
        handler = http_server.make_stream_handler(
            self._open.guard(self._handler.handle),
            self._find_limits(),
            self._must_close,
            self._connections,
        )
        await handler(reader, writer)

    def _find_limits(self) -> http_server.Limits:
        own = self._config.limits
        given = self.tools.view.catalog.limits
        return dataclasses.replace(
            own,
            header_bytes_max=given.header_bytes_max or own.header_bytes_max,
            body_bytes_max=given.body_bytes_max or own.body_bytes_max,
            idle_timeout_ms=given.idle_timeout_ms or own.idle_timeout_ms,
        )

    def _must_close(self) -> bool:
        """Returns whether callers are to go to another VM."""
        return self._is_stopping or not self._is_fresh()

    def _is_fresh(self) -> bool:
        view = self.tools.view
        if view.catalog.revision == 0:
            return False
        age_ms = view.settings_age_ms(self._outside.now_ms())
        return age_ms <= self._gateway_config.ready_age_max_ms

    def _has_room(self) -> bool:
        """Returns whether a new connection of a caller would be served."""
        return len(self._connections) < self._config.limits.connections_max

    async def _answer_ready(
        self, incoming: message.IncomingRequest
    ) -> message.Response:
        is_ready = (
            not self._is_stopping and self._is_fresh() and self._has_room()
        )
        return message.Response(_OK if is_ready else _UNAVAILABLE, {}, b"")

    async def _answer_metrics(
        self, incoming: message.IncomingRequest
    ) -> message.Response:
        if incoming.path == "/status":
            return status.make_status(self.tools, False, self._is_stopping)
        status.set_gauges(self.tools)
        metrics = self.tools.metrics
        metrics.reservations.set({}, len(self._keeper))
        quarantined = self.tools.suspects.list_quarantined()
        metrics.quarantined.set({}, len(quarantined))
        metrics.entries_refused.set({}, self._sync.count_refused())
        self._rate_limiter.set_gauges()
        metrics.quiet_targets.set({}, self._notices.count_quiet())
        metrics.log_lines_left_out.set({}, logs.count_left_out())
        return metric_types.render(metrics.registry)

    async def _stop(self, callers: asyncio.Server) -> None:
        config = self._gateway_config
        self._log.info("Planned stop begins.", open=len(self._open))
        began_ms = self._outside.now_ms()
        self._is_stopping = True
        # Callers come for as long as the balancer has not noticed.
        await asyncio.sleep(config.stop_lag_ms / 1000.0)
        callers.close()
        self._connections.close_idle()
        until_ms = began_ms + config.stop_limit_ms
        while len(self._connections) and self._outside.now_ms() < until_ms:
            await asyncio.sleep(_POLL_MS / 1000.0)
            self._connections.close_idle()
        self._log.info("Planned stop ends.", open=len(self._open))
