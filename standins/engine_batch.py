"""Continuous batching of an engine: memory, prefill and decode by steps."""

from standins import engine_state as states


class Batch:
    """The batch of an engine, whose streams slow each other down.

    Attributes:
        items: Streams and reservations by name.
    """

    def __init__(self, settings: states.EngineSettings) -> None:
        self.allocations: dict[str, states.Allocation] = {}
        self._settings = settings
        self._cache = states.PrefixCache(settings.cache_tokens)
        self._chunks: list[tuple[states.Allocation, int]] = []
        self._decodes: list[states.Allocation] = []

    def held_tokens(self) -> int:
        """Returns the tokens of memory in use."""
        return sum(
            allocation.held_tokens
            for allocation in self.allocations.values()
            if allocation.is_admitted
        )

    def step(self) -> float | None:
        """Plans one step; returns its duration in ms, or None without work."""
        self._admit()
        live = [
            allocation
            for allocation in self.allocations.values()
            if allocation.is_admitted
        ]
        prefills = [
            allocation
            for allocation in live
            if allocation.prefill_tokens_left > 0
        ]
        prefills.sort(
            key=lambda allocation: (-allocation.priority, allocation.number)
        )
        remaining = self._settings.chunk_tokens
        self._chunks = []
        for allocation in prefills:
            tokens = min(remaining, allocation.prefill_tokens_left)
            if tokens > 0:
                self._chunks.append((allocation, tokens))
                remaining -= tokens
        self._decodes = [
            allocation for allocation in live if allocation.is_decoding()
        ]
        if not self._chunks and not self._decodes:
            return None
        used = self._settings.chunk_tokens - remaining
        return (
            self._settings.step_ms
            + len(self._decodes) * self._settings.decode_ms
            + used * 1000.0 / self._settings.prefill_tokens_per_s
        )

    def finish_step(self) -> list[tuple[str, int]]:
        """Executes the planned step; returns changes of the prefix cache."""
        for allocation in self._decodes:
            allocation.generated_tokens += 1
            allocation.notify()
        changes: list[tuple[str, int]] = []
        for allocation, tokens in self._chunks:
            allocation.prefill_tokens_left -= tokens
            if allocation.prefill_tokens_left == 0:
                changes += self._cache.add(
                    allocation.prefix, allocation.prefix_tokens
                )
                if (
                    allocation.is_stream
                    and allocation.generated_tokens < allocation.output_tokens
                ):
                    allocation.generated_tokens += 1
                allocation.notify()
        return changes

    def _admit(self) -> None:
        waiting = [x for x in self.allocations.values() if not x.is_admitted]
        waiting.sort(
            key=lambda allocation: (-allocation.priority, allocation.number)
        )
        free = self._settings.memory_tokens - self.held_tokens()
        for allocation in waiting:
            if allocation.held_tokens <= free:
                free -= allocation.held_tokens
                allocation.is_admitted = True
                cached = self._cache.find_cached_tokens(
                    allocation.prefix, allocation.prefix_tokens
                )
                allocation.prefill_tokens_left = max(
                    1, allocation.prefill_tokens_left - cached
                )
