"""An entry that reads the platform's store itself and relays requests.

It needs no agent: the store publishes what each VM must know, and each VM
enforces its own share of fleet-wide limits. Peers gossip their load, but every
guarantee holds without them.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import math

from ruddergate import _private
from ruddergate import environment
from ruddergate import outcomes
from ruddergate import stop_signal
from ruddergate.decisions import draining
from ruddergate.decisions import links
from ruddergate.decisions import retries
from ruddergate.entry import canceller as cancellers
from ruddergate.entry import config as configs
from ruddergate.entry import context as contexts
from ruddergate.entry import crash_detector
from ruddergate.entry import detour_server
from ruddergate.entry import drain_check
from ruddergate.entry import end_verifier
from ruddergate.entry import ended_connections
from ruddergate.entry import in_flight
from ruddergate.entry import open_requests
from ruddergate.entry import overload
from ruddergate.entry import peer_connector
from ruddergate.entry import peer_gossip
from ruddergate.entry import peer_rpc
from ruddergate.entry import planned_stop
from ruddergate.entry import poll_config
from ruddergate.entry import quarantine_gossip
from ruddergate.entry import rate_limiter
from ruddergate.entry import rate_transfers
from ruddergate.entry import relay_admit
from ruddergate.entry import relay_handler
from ruddergate.entry import reservation_keeper
from ruddergate.entry import retry_transfers
from ruddergate.entry import scheduler as schedulers
from ruddergate.entry import scheduler_messages
from ruddergate.entry import start_check
from ruddergate.entry import status
from ruddergate.entry import store_peers
from ruddergate.entry import store_sync
from ruddergate.entry import target_availability
from ruddergate.entry import target_connector
from ruddergate.entry import target_losses
from ruddergate.entry import view as views
from ruddergate.fleet import incarnation as incarnations
from ruddergate.fleet import store_position
from ruddergate.fleet import target as targets
from ruddergate.http import body_memory
from ruddergate.http import connections
from ruddergate.http import message
from ruddergate.http import server as http_server
from ruddergate.messages import document_part
from ruddergate.messages import rate_token_transfer
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
# If another process holds the port for peers, it is tried again after this.
_REBIND_MS = 2_000.0
# Connections to the readiness check and to the metrics page, each, and the
# memory that they hold.
_PAGE_CONNECTIONS_MAX = 128
_PAGE_CONNECTIONS_BYTES = 2_000_000
_OK = 200
_UNAVAILABLE = 503


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayConfig:
    """Settings of a gateway in addition to those in EntryConfig.

    Attributes:
        ready_listen: Address of the load balancer's readiness check.
        metrics_listen: Address at which metrics are served.
        settings_age_max_ms: Maximum age of settings for accepting a key;
            infinite if a removed key may be used until a VM learns of it.
        ready_age_max_ms: Maximum age of settings for accepting new callers.
        not_found_age_max_ms: Maximum age of settings for permanently rejecting
            a route or key as unknown.
        stop_lag_ms: Time for the load balancer to notice that this VM stops.
        stop_limit_ms: Time after which a planned stop ends even if requests are
            still open.
        polling: How often the store is polled.
        retry_ratio: Retries allowed per first attempt.
        retry_slack: Retries that the fleet may make in addition.
        request_bodies_bytes: Memory for the bodies of all requests.
        connections_bytes: Memory for what callers' connections hold beside
            these bodies.
        peers: Addresses for communication with peers.
    """

    ready_listen: environment.Address
    metrics_listen: environment.Address
    settings_age_max_ms: float
    ready_age_max_ms: float
    not_found_age_max_ms: float
    stop_lag_ms: float
    stop_limit_ms: float
    polling: poll_config.PollConfig
    retry_ratio: float
    retry_slack: float
    peers: peer_gossip.PeerConfig
    request_bodies_bytes: float = body_memory.DEFAULT_LIMIT_BYTES
    connections_bytes: float = connections.DEFAULT_LIMIT_BYTES


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """The functions that a platform's adapter provides.

    Attributes:
        caller_protocol: Parses requests of callers and writes responses.
        make_send: Returns a function that sends a request to a target; given
            the environment in which to connect to targets, and a function that
            is called with each response's hints.
        make_orders: Returns the orders to targets; given the same.
        source: Calls to the store.
    """

    caller_protocol: caller_protocols.CallerProtocol
    make_send: Callable[
        [environment.Environment, hint_types.OnHints], upstream_requests.Send
    ]
    make_orders: Callable[
        [environment.Environment, hint_types.OnHints], orders.Orders
    ]
    source: published.Source


class Gateway:
    """A gateway process; `run` returns when its planned stop is complete."""

    def __init__(
        self,
        env: environment.Environment,
        config: configs.EntryConfig,
        gateway_config: GatewayConfig,
        platform: Platform,
        tracer: traces.Tracer,
    ) -> None:
        self._env = env
        self._config = config
        self._gateway_config = gateway_config
        self._log = logs.make_logger("entry")
        self._stop = planned_stop.PlannedStop()
        self._ended_connections = ended_connections.EndedConnections(env)
        self._connections = http_server.Connections(
            gateway_config.connections_bytes,
            self._ended_connections.note,
            lambda: env.now_ms() / 1000.0,
        )
        self._request_memory = body_memory.make_request_memory(
            gateway_config.request_bodies_bytes,
            lambda: env.now_ms() / 1000.0,
            self._on_body_dropped,
        )
        self._in_flight = in_flight.InFlightCalls(
            platform.caller_protocol.write_failure
        )
        self._open_requests = open_requests.OpenRequests(env)
        view = views.View()
        drain_state = draining.DrainState()
        metrics = metric_types.EntryMetrics()
        self._rate_limiter = rate_limiter.RateLimiter(
            env,
            str(gateway_config.peers.listen),
            lambda now_ms: self._peers.loads.find_member_halls(now_ms),
            lambda target_id: self.context.scheduler.find_target(target_id),
            lambda pool: self.context.scheduler.find_halls(pool),
            lambda: self._peers.note_change(),
            metrics,
        )
        scheduler = schedulers.Scheduler(
            env,
            config,
            view,
            lambda: self._peers.note_change(),
            lambda: self._peers.collect_sums(),
            lambda: self._peers.lacks_peers(),
            lambda: self._peers.loads.collect_losses(),
            lambda: self._peers.loads.collect_refuted_ends(),
            drain_state=drain_state,
            limits=self._rate_limiter.limits,
            losses=target_losses.TargetLosses(
                env.random,
                lambda target, is_own: self._end_verifier.verify(
                    target, is_own
                ),
                self._on_end_refuted,
                lambda: len(self._peers.loads),
            ),
            stop=self._stop,
        )
        self.overload = overload.OverloadDetector(env)
        self._quarantine_gossip = quarantine_gossip.QuarantineGossip(
            env,
            gateway_config.peers.listen,
            lambda: self._peers.loads.list_peers(),
            lambda message, peers: self._peers.send_evidence(message, peers),
        )
        self._availability = target_availability.TargetAvailability(
            env, drain_state, metrics, self._on_draining
        )
        self.context = contexts.EntryContext(
            env=env,
            config=config,
            incarnation=environment.make_random_id(env.random),
            started_ms=env.now_ms(),
            view=view,
            scheduler=scheduler,
            canceller=cancellers.Canceller(env, view),
            budget=retries.Budget(gateway_config.retry_ratio, 0.0, 0.0),
            metrics=metrics,
            tracer=tracer,
            quarantine=self._quarantine_gossip.table,
            ensure_retry=lambda is_large: self._retry_transfers.acquire(
                is_large
            ),
            report_lost_call=lambda lost: self._crash_detector.on_lost_call(
                lost
            ),
            has_crashed=lambda incarnation: self._crash_detector.has_ended(
                incarnation
            ),
            check_admission=self._check_admission,
            take_rate_token=self._rate_limiter.take_token,
            return_rate_token=self._rate_limiter.return_token,
            ensure_rate_token=lambda pool: self._rate_transfers.acquire(pool),
            wait_for_way=lambda wait_ms: self._connector.wait_for_way(wait_ms),
        )
        self._connector = target_connector.TargetConnector(
            env,
            config.hall,
            peer_connector.Peers(
                str(gateway_config.peers.listen),
                lambda: self._peers.list_carriers(),
            ),
            lambda: view.listing.targets,
            lambda: self._peers.note_change(),
            metrics,
        )
        self._detours = detour_server.DetourServer(
            env,
            self._connector.links,
            self._connector.connect_and_verify,
            self._connector.find_target,
            lambda target: self._availability.check_admission((target,)),
            lambda name: self._peers.is_peer(name),
            metrics,
        )
        self._orders = platform.make_orders(
            self._connector.make_environment(is_order=True), self._on_hints
        )
        self._keeper = reservation_keeper.ReservationKeeper(
            env,
            self._rate_limiter.charge_orders(self._orders),
            view.is_superseded,
            lambda target: scheduler.post(
                scheduler_messages.IncarnationEnded(target)
            ),
            self._rate_limiter.limits.is_limited,
        )
        self._drain_check = drain_check.DrainCheck(
            env,
            drain_state,
            view,
            self._keeper.probe,
            lambda: self._sync.mark_draining(),
            metrics,
        )
        direct_orders = platform.make_orders(
            self._connector.make_direct_environment(), self._on_hints
        )
        self._end_verifier = end_verifier.EndVerifier(
            env,
            reservation_keeper.make_probe(
                self._rate_limiter.charge_orders(direct_orders)
            ),
            lambda target: self._connector.is_reachable(target.address),
            scheduler.is_end_reported,
            scheduler.is_end_refuted,
            self._rate_limiter.limits.is_limited,
            lambda target, verdict: scheduler.post(
                scheduler_messages.EndVerified(target, verdict)
            ),
        )
        # Not shared with other probes: those may have begun before the crash.
        self._crash_detector = crash_detector.CrashDetector(
            reservation_keeper.make_probe(
                self._rate_limiter.charge_orders(self._orders)
            ),
            self._quarantine_gossip.table.on_target_ended,
            lambda target: scheduler.post(
                scheduler_messages.IncarnationEnded(target)
            ),
            self.context.metrics,
        )
        self._handler = relay_handler.RelayHandler(
            self.context,
            platform.caller_protocol,
            platform.make_send(
                self._connector.make_environment(is_order=False), self._on_hints
            ),
            self._keeper,
            relay_admit.SettingsAgeLimits(
                gateway_config.settings_age_max_ms,
                gateway_config.not_found_age_max_ms,
            ),
            self._open_requests,
            self._stop.must_refuse,
        )
        self._peers = peer_gossip.PeerGossip(
            env,
            gateway_config.peers,
            config.hall,
            self.context.incarnation,
            scheduler.list_own_loads,
            self._resize_retry_budget,
            self.handle_peer_request,
            scheduler.make_loss_report,
            self._quarantine_gossip.merge_gossip,
            self._on_peer_started,
            summarize_draining=self._availability.summarize,
            merge_draining=self._availability.merge_gossip,
            summarize_rate_limits=self._rate_limiter.summarize,
            merge_rate_limits=self._rate_limiter.merge_gossip,
            find_settings_revision=lambda: view.catalog.revision,
            note_newer_settings=self.note_newer_settings,
            count_carried=self._detours.summarize,
            summarize_refuted_ends=scheduler.list_refuted_ends,
            on_carrier=self._connector.on_carrier,
            on_new_ends=lambda: scheduler.post(scheduler_messages.NewEnds()),
        )
        self._retry_transfers = retry_transfers.RetryTransfers(
            env,
            self.context.budget,
            self._peers.rpc,
            self._peers.find_hall_peers,
        )
        self._rate_transfers = rate_transfers.RateTransfers(
            env,
            config.hall,
            self._rate_limiter,
            self._peers.rpc,
            lambda pool, arriving: rate_transfers.find_missing(
                scheduler.count_sendable(pool),
                scheduler.count_queued(pool) + arriving,
            ),
            self._find_target_hall,
            metrics,
        )
        self._vms_max = 1
        self._resize_retry_budget(0)
        self._sync = store_sync.StoreSync(
            env,
            platform.source,
            view,
            scheduler,
            gateway_config.polling,
            store_peers.StorePeers(
                self._peers.rank_hall,
                str(gateway_config.peers.listen),
                self._peers.list_elsewhere,
                self._peers.rpc.request_changes,
                start_check.make_request(
                    self._peers.rpc.request_changes, self.context.incarnation
                ),
                self._peers.rpc.request_settings,
                self._peers.rpc.request_targets,
                tuple(
                    str(seed)
                    for seed in gateway_config.peers.seeds
                    if seed != gateway_config.peers.listen
                ),
            ),
            drain_state,
            metrics,
            self._drain_check.wake,
        )

    def _on_hints(self, hints: hint_types.Hints) -> None:
        """Applies the hints in a target's response."""
        self._availability.on_hints(hints)
        self._rate_limiter.on_hints(hints)

    def _find_target_hall(self, target_id: str) -> str:
        target = self.context.scheduler.find_target(target_id)
        return target.hall if target is not None else ""

    def _check_admission(
        self, chosen: Sequence[targets.Target]
    ) -> outcomes.NotServed | None:
        """Returns a refusal if a target or helper accepts no requests now."""
        refusal = self._availability.check_admission(chosen)
        return refusal or self._rate_limiter.refuse_helpers(chosen[1:])

    def count_carried(self) -> int:
        """Returns the number of connections carried for peers now."""
        return self._detours.carried

    def handle_peer_request(
        self, request: peer_rpc.Request
    ) -> peer_rpc.Reply | None:
        """Returns the reply to a peer's request, if there is one."""
        match request:
            case store_changes.StoreChangesRequest():
                return self._sync.answer_changes_request(request)
            case document_part.SettingsRequest():
                return self._sync.settings.answer(
                    request.correlation_id, request.revision, request.part
                )
            case document_part.TargetsRequest():
                position = store_position.StorePosition(
                    request.epoch, request.revision
                )
                return self._sync.targets.answer(
                    request.correlation_id, position, request.part
                )
            case retry_transfer.RetryTransferRequest():
                transferred = self.context.budget.transfer_out(
                    request.retries, request.is_large
                )
                return retry_transfer.RetryTransferReply(
                    request.correlation_id, transferred
                )
            case rate_token_transfer.RateTokenRequest():
                return self._rate_transfers.answer(request)

    def note_newer_settings(self, peer: str, revision: int) -> None:
        """Records that a peer uses a later settings revision than this VM."""
        self._sync.note_newer_settings(peer, revision)

    def _on_peer_started(self, peer: str) -> None:
        """Sends a VM that has just started what it should know."""
        self._quarantine_gossip.on_peer_started(peer)
        self._availability.on_peer_started(len(self._peers.loads))

    def _on_end_refuted(
        self, incarnation: incarnations.Incarnation, is_own: bool
    ) -> None:
        """Drops what followed from the end of a target that is alive."""
        source = "own" if is_own else "peer"
        self.context.metrics.refuted_ends.inc({"from": source})
        self._crash_detector.refute(incarnation)
        if is_own:
            self._peers.note_change()

    def _on_draining(self) -> None:
        """Marks draining targets in the view, and schedules gossip on them."""
        self._sync.mark_draining()
        self._drain_check.wake()
        self._peers.note_change()

    def _resize_retry_budget(self, peers: int) -> None:
        """Sets the size of this VM's share of the fleet's retry budget."""
        self._vms_max = max(self._vms_max, peers + 1)
        slack = self._gateway_config.retry_slack
        budget_max = retries.compute_capacity(slack, self._vms_max)
        self.context.budget.resize(budget_max)

    async def run(self, stop: stop_signal.StopSignal) -> None:
        """Serves until `stop` is set, then makes a planned stop."""
        tasks = [
            asyncio.ensure_future(self.context.scheduler.run()),
            asyncio.ensure_future(self._sync.run()),
            asyncio.ensure_future(self._sync.watch_staleness()),
            asyncio.ensure_future(self._peers.run()),
            asyncio.ensure_future(self._quarantine_gossip.run()),
            asyncio.ensure_future(self._drain_check.run()),
            asyncio.ensure_future(self._rate_limiter.run(self._orders.probe)),
            asyncio.ensure_future(self._connector.run()),
            asyncio.ensure_future(self.overload.run(stop.note_awake)),
            asyncio.ensure_future(self._serve_peers()),
        ]
        servers = [
            await self._serve(
                self._answer_ready, self._gateway_config.ready_listen
            ),
            await self._serve(
                self._answer_metrics, self._gateway_config.metrics_listen
            ),
        ]
        callers = await self._env.serve(self._serve_caller, self._config.listen)
        self._log.info(
            "Serving callers at {}.",
            self._config.listen,
            key_age_max_ms=self._gateway_config.settings_age_max_ms,
            ready_age_max_ms=self._gateway_config.ready_age_max_ms,
        )
        try:
            await _private.wait_while_running(stop.wait(), tasks)
            await self._finish(callers, stop.earliest_ms)
        finally:
            for server in (*servers, callers):
                server.close()
            for task in tasks:
                task.cancel()
            self.context.tracer.close()

    async def _serve(
        self, handle: in_flight.Handle, address: environment.Address
    ) -> asyncio.Server:
        limits = dataclasses.replace(
            self._config.limits, connections_max=_PAGE_CONNECTIONS_MAX
        )
        opened = http_server.Connections(
            _PAGE_CONNECTIONS_BYTES,
            self._ended_connections.note,
            keeps_idle=False,
        )
        handler = http_server.make_stream_handler(
            handle, limits, connections=opened
        )
        return await self._env.serve(handler, address)

    async def _serve_peers(self) -> None:
        """Carries connections of peers; retries until the port is free."""
        while True:
            try:
                server = await self._env.serve(
                    self._detours.serve, self._gateway_config.peers.listen
                )
            except OSError as error:
                self._log.error("Could not listen for peers. {}", error)
                await asyncio.sleep(_REBIND_MS / 1000.0)
                continue
            self._detours.is_stopping = False
            try:
                await asyncio.Event().wait()
            finally:
                server.close()

    async def _serve_caller(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves a connection of a caller."""
        if self.overload.must_shed():
            writer.close()
            return
        handler = http_server.make_stream_handler(
            self._in_flight.track(self._handler.handle),
            self._find_http_limits(),
            self._should_close,
            self._connections,
            lambda: self._stop.is_accepting,
            self._find_http_limits,
            self._request_memory,
        )
        await handler(reader, writer)

    def _on_body_dropped(self, body: body_memory.Body) -> None:
        """Reports a request that is refused for the memory of its body."""
        self._log.warning(
            "Request refused: no_request_memory.",
            body_bytes=body.held_bytes,
            received_bytes=len(body),
            age_ms=round(body.find_age_s() * 1000.0),
            held_bytes=round(self._request_memory.used_bytes),
            limit_bytes=round(self._request_memory.limit_bytes),
        )

    def _find_http_limits(self) -> http_server.Limits:
        default = self._config.limits
        published_limits = self.context.view.catalog.limits
        return dataclasses.replace(
            default,
            header_bytes_max=published_limits.header_bytes_max
            or default.header_bytes_max,
            body_bytes_max=published_limits.body_bytes_max
            or default.body_bytes_max,
            idle_timeout_ms=published_limits.idle_timeout_ms
            or default.idle_timeout_ms,
        )

    def _should_close(self) -> bool:
        """Returns whether callers should connect to another VM."""
        return self._stop.is_stopping or not self._has_fresh_settings()

    def _has_fresh_settings(self) -> bool:
        view = self.context.view
        if view.catalog.revision == 0:
            return False
        age_ms = view.settings_age_ms(self._env.now_ms())
        return age_ms <= self._gateway_config.ready_age_max_ms

    def _has_room(self) -> bool:
        """Returns whether another connection of a caller would be served."""
        lasting = self._connections.count_lasting()
        return lasting < self._config.limits.connections_max

    def _count_open(self) -> int:
        """Returns the open connections of callers and those carried."""
        return len(self._connections) + self._detours.carried

    async def _answer_ready(
        self, incoming: message.IncomingRequest
    ) -> message.Response:
        is_ready = (
            not self._stop.is_stopping
            and self._has_fresh_settings()
            and self._has_room()
            and self._connector.links.state is not links.State.ISOLATED
        )
        return message.Response(_OK if is_ready else _UNAVAILABLE, {}, b"")

    async def _answer_metrics(
        self, incoming: message.IncomingRequest
    ) -> message.Response:
        if incoming.path == "/status":
            return status.make_status(
                self.context,
                False,
                self._stop.is_stopping,
                self._describe_links(),
            )
        status.set_gauges(self.context)
        metrics = self.context.metrics
        metrics.reservations.set({}, len(self._keeper))
        for stage, count in self._open_requests.count_by_stage().items():
            metrics.open_requests.set({"stage": stage}, count)
        quarantined = self.context.quarantine.list_quarantined()
        metrics.quarantined.set({}, len(quarantined))
        metrics.loop_lag_ms.set({}, self.overload.lag_ms)
        metrics.shed_connections.set({}, self.overload.shed)
        metrics.connection_bytes.set({}, self._connections.held_bytes)
        for cause, count in self._ended_connections.counts.items():
            metrics.ended_connections.set({"cause": cause.value}, count)
        metrics.request_body_bytes.set({}, self._request_memory.used_bytes)
        metrics.refused_bodies.set({}, self._request_memory.dropped)
        metrics.poison_trials.set({}, self.context.quarantine.trials)
        metrics.rejected_entries.set({}, self._sync.count_refused())
        metrics.hedged_store_calls.set({}, self._sync.count_hedged())
        self._rate_limiter.set_gauges()
        metrics.backing_off_targets.set(
            {}, self._availability.count_backing_off()
        )
        metrics.carried_connections.set({}, self._detours.carried)
        metrics.broken_links.set({}, self._connector.links.count_broken())
        for each in links.State:
            is_state = each is self._connector.links.state
            metrics.links_state.set({"state": each.value}, int(is_state))
        metrics.log_lines_dropped.set({}, logs.count_dropped_lines())
        return metric_types.render(metrics.registry)

    def _describe_links(self) -> dict[str, object]:
        """Returns the state of the links to targets, for the status page."""
        return {
            "links": self._connector.links.state.value,
            "broken_links": self._connector.links.count_broken(),
            "carried": self._detours.carried,
            "carriers": len(self._peers.list_carriers()),
        }

    async def _finish(
        self, callers: asyncio.Server, signal_ms: float | None
    ) -> None:
        """Makes a planned stop.

        Args:
            callers: The server of callers.
            signal_ms: Earliest time of the signal; None if it came just now.
        """
        config = self._gateway_config
        now_ms = self._env.now_ms()
        if signal_ms is None:
            signal_ms = now_ms
        self._log.info(
            "Planned stop begins.",
            open=len(self._in_flight),
            stages=self._open_requests.count_by_stage(),
            signal_age_max_ms=round(now_ms - signal_ms),
        )
        self._stop.begin(signal_ms, now_ms, config.stop_limit_ms)
        self._detours.is_stopping = True
        self.context.scheduler.post(scheduler_messages.StopBegan())
        self._peers.note_change()
        # Callers still connect until the load balancer has noticed.
        # It notices a suspended VM, too, so that time counts.
        lag_ms = signal_ms + config.stop_lag_ms - now_ms
        await asyncio.sleep(max(0.0, lag_ms / 1000.0))
        callers.close()
        self._stop.stop_accepting()
        self._connections.close_idle()
        self._log.info(
            "Planned stop accepts no further requests.",
            open=len(self._in_flight),
            stages=self._open_requests.count_by_stage(),
            connections=len(self._connections),
            left_ms=round(self._stop.killed_ms - self._env.now_ms()),
        )
        await self._answer_open()
        self._open_requests.log_cut()
        self._log.info(
            "Planned stop ends.",
            open=len(self._in_flight),
            stages=self._open_requests.count_by_stage(),
            connections=len(self._connections),
            carried=self._detours.carried,
            late_ms=round(self._env.now_ms() - self._stop.ends_ms),
            lag_ms=round(self.overload.lag_ms),
        )

    async def _answer_open(self) -> None:
        """Waits until nothing is open; answers what waits as time is up."""
        wrote_from_ms = math.inf
        while self._count_open():
            now_ms = self._env.now_ms()
            includes_sent = now_ms >= self._stop.answer_all_ms
            if now_ms >= self._stop.answer_waiting_ms:
                self._open_requests.end_waits(includes_sent)
            if includes_sent:
                wrote_from_ms = min(wrote_from_ms, now_ms)
            # Also a process that is late takes its time to write.
            written_ms = wrote_from_ms + planned_stop.LAST_WRITE_MS
            if now_ms >= max(self._stop.ends_ms, written_ms):
                return
            await asyncio.sleep(_POLL_MS / 1000.0)
            self._connections.close_idle()
