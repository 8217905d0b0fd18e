"""Chooses targets for requests by the configured routing policies."""

from collections.abc import Callable
import dataclasses
import random

from ruddergate import environment
from ruddergate.decisions import cost as costs
from ruddergate.decisions import estimate as estimates
from ruddergate.decisions import gangs
from ruddergate.decisions import gap_class
from ruddergate.decisions import length_band
from ruddergate.decisions import own_work
from ruddergate.decisions.routing import policy as policies
from ruddergate.entry import scheduler_messages


class Placer:
    """Chooses targets and adds the new work to their load estimates.

    Owned by the scheduler task, like the estimates that it changes.

    Args:
        rng: For policies and attempt ids.
        policy: Chooses targets for prompts.
        service_policy: Chooses targets for calls of plain services.
        on_own_load_change: Called when a target was given work.
        is_limited: Returns whether a target advertises a rate limit.
    """

    def __init__(
        self,
        rng: random.Random,
        policy: policies.Policy,
        service_policy: policies.Policy,
        on_own_load_change: Callable[[], None],
        is_limited: Callable[[str], bool] = lambda target_id: False,
    ) -> None:
        self._is_limited = is_limited
        self._rng = rng
        self._policy = policy
        self._service_policy = service_policy
        self._on_own_load_change = on_own_load_change

    @property
    def shorter_first(self) -> bool:
        """Whether engines should prefill shorter prompts first."""
        return self._policy.shorter_first

    def place(
        self,
        request: scheduler_messages.PlacementRequest,
        usable: list[estimates.Estimate],
        now_ms: float,
        lacks_peer_loads: bool = False,
    ) -> tuple[scheduler_messages.Placement, ...]:
        """Returns the placements of a request, or none to keep it queued.

        Args:
            request: The request; targets that failed it are used only if there
                are no others.
            usable: Targets to choose from; never empty.
            now_ms: Monotonic time.
            lacks_peer_loads: Whether there are peers, but no load of any of
                them is known yet.
        """
        if request.forbidden:
            usable = [
                each
                for each in usable
                if each.target.target_id not in request.forbidden
            ]
            if not usable:
                return ()
        candidates = [
            each
            for each in usable
            if each.target.target_id not in request.excluded
        ] or usable
        if request.pool.pool_kind == "service":
            return self._place_on_service(request, candidates, now_ms)
        if request.segments:
            return self._place_gang(request, candidates, now_ms)
        if costs.is_long(request.pool, request.routing_job.prompt_tokens):
            # Reading a prompt with helpers takes many requests to them, which
            # would use up their rate limits.
            candidates = [
                each
                for each in candidates
                if not self._is_limited(each.target.target_id)
            ] or candidates
        waited_ms = now_ms - request.routing_job.waited_ms
        routing_job = dataclasses.replace(
            request.routing_job,
            waited_ms=waited_ms,
            is_peer_load_unknown=lacks_peer_loads,
        )
        chosen = self._policy.choose(routing_job, candidates, now_ms, self._rng)
        if chosen is None:
            return ()
        cached = min(
            routing_job.prefix_tokens, chosen.cached_tokens(routing_job.prefix)
        )
        uncached = routing_job.prompt_tokens - cached
        memory_shares = gangs.split_memory(
            routing_job.held_tokens, request.pool.memory_tokens
        )
        helpers = ()
        if not self._is_limited(chosen.target.target_id):
            helpers = self._policy.choose_helpers(
                routing_job, chosen, candidates, now_ms, self._rng
            )
        engine_count = 1 + len(helpers)
        if self._policy.splits_memory and len(memory_shares) > engine_count:
            return ()
        if not self._policy.splits_memory:
            memory_shares = (routing_job.held_tokens,)
        return tuple(
            self._start_attempt(
                request,
                each,
                uncached // engine_count,
                memory_shares[index] if index < len(memory_shares) else 0,
                cached if index == 0 else 0,
                now_ms,
                engine_count,
                is_writing=index == 0,
            )
            for index, each in enumerate((chosen, *helpers))
        )

    def _place_on_service(
        self,
        request: scheduler_messages.PlacementRequest,
        candidates: list[estimates.Estimate],
        now_ms: float,
    ) -> tuple[scheduler_messages.Placement, ...]:
        streams_max = request.pool.service_concurrency
        free = [
            each for each in candidates if each.streams(now_ms) < streams_max
        ]
        if not free:
            return ()
        chosen = self._service_policy.choose(
            request.routing_job, free, now_ms, self._rng
        )
        return (self._start_attempt(request, chosen, 0, 0, 0, now_ms),)

    def _place_gang(
        self,
        request: scheduler_messages.PlacementRequest,
        candidates: list[estimates.Estimate],
        now_ms: float,
    ) -> tuple[scheduler_messages.Placement, ...]:
        needed = max(segment.held_tokens for segment in request.segments)
        with_room = [
            each
            for each in candidates
            if each.pool.memory_tokens - each.held_tokens(now_ms) >= needed
            and not each.long_prefill_tokens(now_ms)
        ]
        if len(with_room) < len(request.segments):
            return ()
        with_room.sort(key=lambda each: each.waiting_tokens(now_ms))
        chosen = with_room[: len(request.segments)]
        # A global lock order, so that two gangs never deadlock.
        chosen.sort(key=lambda each: each.target.target_id)
        return tuple(
            self._start_attempt(
                request, each, segment.tokens, segment.held_tokens, 0, now_ms
            )
            for each, segment in zip(chosen, request.segments, strict=True)
        )

    def _start_attempt(
        self,
        request: scheduler_messages.PlacementRequest,
        chosen: estimates.Estimate,
        prefill_tokens: int,
        held_tokens: int,
        cached_tokens: int,
        now_ms: float,
        engine_count: int = 1,
        is_writing: bool = True,
    ) -> scheduler_messages.Placement:
        attempt_id = environment.make_random_id(self._rng)
        band = length_band.find_band(request.routing_job.prompt_tokens)
        is_long = costs.is_long(chosen.pool, prefill_tokens * engine_count)
        prefill_ms = costs.predict_prefill_ms(
            chosen.pool, prefill_tokens * engine_count
        )
        work = own_work.OwnWork(
            prefill_tokens,
            held_tokens,
            now_ms,
            band,
            prefill_ms / engine_count,
            is_long,
            gap_class.find_class(request.routing_job.gap_slo_ms),
            is_writing,
        )
        estimated_load = chosen.describe(now_ms)
        chosen.begin_attempt(attempt_id, work)
        self._on_own_load_change()
        return scheduler_messages.Placement(
            chosen.target,
            attempt_id,
            cached_tokens,
            estimated_load,
            held_tokens,
        )
