"""Draws the requests of schedules in which pools are full."""

import dataclasses
import random

from standins import gateway_caller

_SHORT_PROMPTS = (500, 2_000, 10_000)
_LONG_PROMPTS = (20_000, 100_000, 200_000, 260_000, 300_000)
# As parts of one engine's memory.
_GANG_PROMPT_FACTORS = (1.2, 1.6, 2.4)
_TIME_LIMITS_MS = (500.0, 1_000.0, 3_000.0, 6_000.0, 10_000.0, 15_000.0)
# What those have that wait for long.
_LONG_TIME_LIMITS_MS = (6_000.0, 10_000.0, 15_000.0)
_SERVICE_TIME_LIMITS_MS = (500.0, 2_000.0)
_OUTPUT_TOKENS = (100, 1_000, 6_000)
_BODY_BYTES = (20, 3_000, 31_000)
_PARTS = 12


class CallDraws:
    """Draws requests; each has an id and a body of its own.

    Args:
        rng: Source of all draws.
        memory_tokens: Memory of one engine.
        long_share: Share of long prompts.
    """

    def __init__(
        self, rng: random.Random, memory_tokens: int, long_share: float
    ) -> None:
        self._rng = rng
        self._memory_tokens = memory_tokens
        self._long_share = long_share
        self._count = 0

    def draw(self, vm: str, is_long: bool) -> gateway_caller.Call:
        """Returns a request to a VM.

        Args:
            vm: Name of the VM.
            is_long: Whether it is a long prompt with time to wait; any request
                otherwise.
        """
        rng = self._rng
        if is_long:
            return self._draw_long(vm)
        if rng.random() < 0.1:
            return self._make(
                vm,
                rng.choice(("safe", "unsafe")),
                time_limit_ms=rng.choice(_SERVICE_TIME_LIMITS_MS),
            )
        time_limit_ms = rng.choice(_TIME_LIMITS_MS)
        if rng.random() < self._long_share:
            call = self._draw_long(vm)
            return dataclasses.replace(call, time_limit_ms=time_limit_ms)
        return self._make(
            vm,
            rng.choice(("short", "short", "once")),
            prompt_tokens=rng.choice(_SHORT_PROMPTS),
            output_tokens=rng.choice(_OUTPUT_TOKENS),
            time_limit_ms=time_limit_ms,
        )

    def _draw_long(self, vm: str) -> gateway_caller.Call:
        rng = self._rng
        prompt_tokens = rng.choice(_LONG_PROMPTS)
        if rng.random() < 0.2:
            factor = rng.choice(_GANG_PROMPT_FACTORS)
            prompt_tokens = round(self._memory_tokens * factor)
        return self._make(
            vm,
            "long",
            prompt_tokens=prompt_tokens,
            output_tokens=rng.choice(_OUTPUT_TOKENS),
            time_limit_ms=rng.choice(_LONG_TIME_LIMITS_MS),
        )

    def _make(
        self,
        vm: str,
        route: str,
        *,
        prompt_tokens: int = 0,
        output_tokens: int = 0,
        time_limit_ms: float,
    ) -> gateway_caller.Call:
        self._count += 1
        request_id = f"r{self._count}"
        # All of their own, so that none is suspected after crashes.
        body = request_id.encode().ljust(self._rng.choice(_BODY_BYTES), b".")
        return gateway_caller.Call(
            request_id,
            route,
            vm,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            time_limit_ms=time_limit_ms,
            body=body,
            parts=(f"s{self._rng.randrange(_PARTS)}",),
        )
