"""Gives requests their places on targets, by the policies of the process."""

from collections.abc import Callable
import dataclasses
import random

from ruddergate import environment
from ruddergate.decisions import cost as costs
from ruddergate.decisions import estimate as estimates
from ruddergate.decisions import gangs
from ruddergate.decisions import length_band
from ruddergate.decisions import own_work
from ruddergate.decisions import pause_class
from ruddergate.decisions.routing import policy as policies
from ruddergate.entry import scheduler_messages


class Placer:
    """Chooses targets and notes on them what they are given.

    Owned by the scheduler task, like the estimates that it changes.

    Args:
        chance: For policies and for names of attempts.
        policy: Where prompts run.
        service_policy: Where calls of plain services run.
        note_change: Called when a target was given work.
        is_limited: Returns whether a target names a rate limit.
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
        """Whether engines are to prefill shorter prompts first."""
        return self._policy.shorter_first

    def place(
        self,
        request: scheduler_messages.PlacementRequest,
        usable: list[estimates.Estimate],
        now_ms: float,
        is_blind: bool = False,
    ) -> tuple[scheduler_messages.Placement, ...]:
        """Returns the seats of a request, or none if it is better kept waiting.

        Args:
            asked: The request; targets that failed it come last.
            usable: Targets to choose from; never empty.
            now_ms: Monotonic time.
            is_blind: Whether nothing is known of peers yet.
        """
        candidates = [
            each
            for each in usable
            if each.target.target_id not in request.excluded
        ] or usable
        if request.pool.pool_kind == "service":
            return self._place_on_service(request, candidates, now_ms)
        if request.segments:
            return self._place_gang(request, candidates, now_ms)
        if costs.is_long(request.pool, request.route.prompt_tokens):
            # What helpers of a prompt are asked takes many requests.
            candidates = [
                each
                for each in candidates
                if not self._is_limited(each.target.target_id)
            ] or candidates
        waited_ms = now_ms - request.route.waited_ms
        route = dataclasses.replace(
            request.route, waited_ms=waited_ms, is_blind=is_blind
        )
        chosen = self._policy.choose(route, candidates, now_ms, self._rng)
        if chosen is None:
            return ()
        cached = min(route.prefix_tokens, chosen.cached_tokens(route.prefix))
        fresh = route.prompt_tokens - cached
        shares = gangs.split_memory(
            route.held_tokens, request.pool.memory_tokens
        )
        helpers = ()
        if not self._is_limited(chosen.target.target_id):
            helpers = self._policy.choose_helpers(
                route, chosen, candidates, now_ms, self._rng
            )
        parts = 1 + len(helpers)
        if self._policy.splits_memory and len(shares) > parts:
            return ()
        if not self._policy.splits_memory:
            shares = (route.held_tokens,)
        return tuple(
            self._start_attempt(
                request,
                each,
                fresh // parts,
                shares[index] if index < len(shares) else 0,
                cached if index == 0 else 0,
                now_ms,
                parts,
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
        most = request.pool.service_concurrency
        free = [each for each in candidates if each.streams(now_ms) < most]
        if not free:
            return ()
        chosen = self._service_policy.choose(
            request.route, free, now_ms, self._rng
        )
        return (self._start_attempt(request, chosen, 0, 0, 0, now_ms),)

    def _place_gang(
        self,
        request: scheduler_messages.PlacementRequest,
        candidates: list[estimates.Estimate],
        now_ms: float,
    ) -> tuple[scheduler_messages.Placement, ...]:
        needed = max(segment.held_tokens for segment in request.segments)
        room = [
            each
            for each in candidates
            if each.pool.memory_tokens - each.held_tokens(now_ms) >= needed
            and not each.long_tokens(now_ms)
        ]
        if len(room) < len(request.segments):
            return ()
        room.sort(key=lambda each: each.waiting_tokens(now_ms))
        chosen = room[: len(request.segments)]
        # One global order, so that two gangs never wait for each other.
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
        fresh_tokens: int,
        held_tokens: int,
        cached_tokens: int,
        now_ms: float,
        parts: int = 1,
        is_writing: bool = True,
    ) -> scheduler_messages.Placement:
        attempt_id = environment.make_token(self._rng)
        band = length_band.find_band(request.route.prompt_tokens)
        is_long = costs.is_long(chosen.pool, fresh_tokens * parts)
        prefill_ms = costs.predict_prefill_ms(chosen.pool, fresh_tokens * parts)
        work = own_work.OwnWork(
            fresh_tokens,
            held_tokens,
            now_ms,
            band,
            prefill_ms / parts,
            is_long,
            pause_class.find_class(request.route.pause_aim_ms),
            is_writing,
        )
        estimated_load = chosen.describe(now_ms)
        chosen.begin(attempt_id, work)
        self._on_own_load_change()
        return scheduler_messages.Placement(
            chosen.target,
            attempt_id,
            cached_tokens,
            estimated_load,
            held_tokens,
        )
