"""Assembles one entry and runs it until its planned stop."""

import asyncio

from ruddergate import _private
from ruddergate import environment
from ruddergate.adapters.callers import render
from ruddergate.decisions import retries
from ruddergate.entry import canceller as cancellers
from ruddergate.entry import config as configs
from ruddergate.entry import context as contexts
from ruddergate.entry import feed as feeds
from ruddergate.entry import forwarding
from ruddergate.entry import handler as handlers
from ruddergate.entry import in_flight
from ruddergate.entry import keyed as keyed_runs
from ruddergate.entry import limits as limit_types
from ruddergate.entry import quarantine
from ruddergate.entry import scheduler as schedulers
from ruddergate.entry import status
from ruddergate.entry import view as views
from ruddergate.http import server as http_server
from ruddergate.telemetry import logs
from ruddergate.telemetry import metrics as metric_types
from ruddergate.telemetry import traces

_POLL_MS = 50.0
# Once nothing is in flight, how long a planned stop waits for callers to
# receive the end of their responses. As long as a request may take to arrive.
_FLUSH_LIMIT_MS = 15_000.0


class Entry:
    """One entry process; `run` returns when its planned stop is over."""

    def __init__(
        self,
        env: environment.Environment,
        config: configs.EntryConfig,
        tracer: traces.Tracer,
    ) -> None:
        self._env = env
        self._config = config
        self._log = logs.make_logger("entry")
        self._in_flight = in_flight.InFlightCalls(render.make_error_response)
        self._connections = http_server.Connections()
        self._is_closing = False
        view = views.View()
        scheduler = schedulers.Scheduler(env, config, view)
        self.context = contexts.EntryContext(
            env=env,
            config=config,
            incarnation=environment.make_random_id(env.random),
            started_ms=env.now_ms(),
            view=view,
            scheduler=scheduler,
            canceller=cancellers.Canceller(env, view),
            budget=retries.Budget(),
            metrics=metric_types.EntryMetrics(),
            tracer=tracer,
            quarantine=quarantine.Quarantine(env),
        )
        limits = limit_types.Limits(env, view)
        self._keyed = keyed_runs.KeyedRuns(self.context, limits)
        self._handler = handlers.Handler(self.context, limits, self._keyed)
        self._feed = feeds.Feed(
            env, config, self.context.incarnation, view, scheduler, limits
        )

    async def run(self, stop: asyncio.Event) -> None:
        """Serves until `stop` is set, then ends as planned."""
        tasks = [
            asyncio.ensure_future(self.context.scheduler.run()),
            asyncio.ensure_future(self._feed.run()),
        ]
        callers = await self._serve_callers()
        peers = await self._serve_peers()
        self._log.info("Serving callers at {}.", self._config.listen)
        try:
            await _private.wait_while_running(stop.wait(), tasks)
            await self._stop(callers)
        finally:
            peers.close()
            callers.close()
            for task in tasks:
                task.cancel()
            self.context.tracer.close()

    async def _serve_callers(self) -> asyncio.Server:
        handle_call = handlers.with_span(self._handler.handle, self.context)
        handle = status.make_status_handler(
            handle_call, self._feed, self.context
        )
        handler = http_server.make_stream_handler(
            self._in_flight.track(handle),
            self._config.limits,
            lambda: self._is_closing,
            self._connections,
            is_accepting=lambda: not self._is_closing,
        )
        return await self._env.serve(handler, self._config.listen)

    async def _serve_peers(self) -> asyncio.Server:
        handler = forwarding.make_stream_handler(
            self._config.peer_key,
            self._in_flight.track(self._handler.handle_forwarded),
            self._config.limits.read_timeout_ms,
        )
        return await self._env.serve(handler, self._config.peer_listen)

    async def _stop(self, callers: asyncio.Server) -> None:
        self._log.info("Planned stop begins.")
        self._feed.is_stopping = True
        # New callers come until the load balancer has noticed.
        await asyncio.sleep(self._config.stop_lag_ms / 1000.0)
        self._is_closing = True
        callers.close()
        quiet_since_ms = self._env.now_ms()
        while True:
            self._connections.close_idle()
            now_ms = self._env.now_ms()
            if self._has_work():
                quiet_since_ms = now_ms
            elif not len(self._connections) or (
                now_ms >= quiet_since_ms + _FLUSH_LIMIT_MS
            ):
                break
            await asyncio.sleep(_POLL_MS / 1000.0)
        self._log.info("Planned stop ends, nothing is in flight.")

    def _has_work(self) -> bool:
        """Returns whether anything is in flight."""
        return bool(
            len(self._in_flight)
            or len(self._keyed)
            or len(self.context.canceller)
        )
