"""Continuous batching of an engine: memory, prefill and decode by steps."""

from standins import engine_state as states


class Batch:
    """The batch of an engine, whose streams slow each other down.

    Attributes:
        items: Streams and reservations by name.
    """

    def __init__(self, settings: states.EngineSettings) -> None:
        self.items: dict[str, states.Item] = {}
        self._settings = settings
        self._cache = states.PrefixCache(settings.cache_tokens)
        self._chunks: list[tuple[states.Item, int]] = []
        self._decodes: list[states.Item] = []

    def held_tokens(self) -> int:
        """Returns the tokens of memory in use."""
        return sum(
            item.held_tokens for item in self.items.values() if item.is_admitted
        )

    def step(self) -> float | None:
        """Plans one step; returns its duration in ms, or None without work."""
        self._admit()
        live = [item for item in self.items.values() if item.is_admitted]
        prefills = [item for item in live if item.to_prefill > 0]
        prefills.sort(key=lambda item: (-item.priority, item.number))
        remaining = self._settings.chunk_tokens
        self._chunks = []
        for item in prefills:
            tokens = min(remaining, item.to_prefill)
            if tokens > 0:
                self._chunks.append((item, tokens))
                remaining -= tokens
        self._decodes = [item for item in live if item.is_decoding()]
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
        for item in self._decodes:
            item.position += 1
            item.tell()
        changes: list[tuple[str, int]] = []
        for item, tokens in self._chunks:
            item.to_prefill -= tokens
            if item.to_prefill == 0:
                changes += self._cache.store(item.prefix, item.prefix_tokens)
                if item.is_stream and item.position < item.last_position:
                    item.position += 1
                item.tell()
        return changes

    def _admit(self) -> None:
        waiting = [x for x in self.items.values() if not x.is_admitted]
        waiting.sort(key=lambda item: (-item.priority, item.number))
        free = self._settings.memory_tokens - self.held_tokens()
        for item in waiting:
            if item.held_tokens <= free:
                free -= item.held_tokens
                item.is_admitted = True
                cached = self._cache.use(item.prefix, item.prefix_tokens)
                item.to_prefill = max(1, item.to_prefill - cached)
