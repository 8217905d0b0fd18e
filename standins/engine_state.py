"""State of the fake engine: streams, reservations, memory and prefix cache."""

import asyncio
import collections
import dataclasses

from standins import answers


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSettings:
    """Rates and sizes of an engine.

    Attributes:
        memory_tokens: KV memory.
        cache_tokens: Capacity of the cache of shared prefixes.
        chunk_tokens: Maximum prompt tokens prefilled in one step.
        prefill_tokens_per_s: Rate of prefill inside a step.
        step_ms: Duration of a step without any work.
        decode_ms: Time that each decoding stream adds to a step.
        report_ms: Time between two load reports.
        event_lag_ms: Delay of cache events.
        event_loss_ratio: Share of cache events that is lost.
        flush_ms: Minimum time between two writes of one stream.
        load_ms: Time to load a model once its weights are read.
        checks_fence: Whether orders with a stale fencing token are refused.
        checks_key: Whether a reused idempotency key is refused.
    """

    memory_tokens: int = 400_000
    cache_tokens: int = 80_000
    chunk_tokens: int = 1_024
    prefill_tokens_per_s: float = 40_000.0
    step_ms: float = 18.0
    decode_ms: float = 0.1
    report_ms: float = 500.0
    event_lag_ms: float = 500.0
    event_loss_ratio: float = 0.02
    flush_ms: float = 0.0
    load_ms: float = 3_000.0
    checks_fence: bool = True
    checks_key: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class Allocation:
    """A stream or a reservation in an engine's memory.

    Attributes:
        allocation_id: Id given by the caller.
        owner: Owner given by the caller.
        expiry_ms: Time after which it is no longer needed.
        started_ms: Time of arrival.
        held_tokens: Memory that it uses once admitted.
        priority: Higher goes first.
        number: Order of arrival.
        prompt: Prompt text.
        prefix: Name of its shared prefix.
        prefix_tokens: Length of the prefix.
        prefill_tokens_left: Prompt tokens not yet prefilled.
        generated_tokens: Tokens generated, including those that another engine
            delivered before.
        output_tokens: Tokens of the complete answer.
        first_token: Position of the first token that this engine generates.
        is_stream: Whether it generates; otherwise it is a reservation that only
            holds memory for a part of a prompt.
        is_admitted: Whether its memory is allocated.
        is_released: Whether its memory was released.
        changed: Set when there is something new to send.
    """

    allocation_id: str
    owner: str
    expiry_ms: float
    started_ms: float
    held_tokens: int
    priority: int
    number: int
    prompt: str = ""
    prefix: str = ""
    prefix_tokens: int = 0
    prefill_tokens_left: int = 0
    generated_tokens: int = 0
    output_tokens: int = 0
    first_token: int = 0
    is_stream: bool = True
    is_admitted: bool = False
    is_released: bool = False
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def is_decoding(self) -> bool:
        """Returns whether the next step generates a token for it."""
        is_prefilled = self.is_stream and self.prefill_tokens_left == 0
        return is_prefilled and self.generated_tokens < self.output_tokens

    def notify(self) -> None:
        """Wakes all tasks that wait for a change."""
        self.changed.set()
        self.changed = asyncio.Event()

    def make_token_texts(self, first: int, end: int) -> list[str]:
        """Returns the tokens from `first` up to, not including, `end`."""
        return [
            answers.make_token_text(self.prompt, each)
            for each in range(first, end)
        ]


class PrefixCache:
    """LRU cache of shared prefixes."""

    def __init__(self, tokens_max: int) -> None:
        self._tokens_max = tokens_max
        self._prefixes: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def find_cached_tokens(self, prefix: str, tokens: int) -> int:
        """Returns how many tokens of a prefix are cached; marks it as used."""
        if prefix not in self._prefixes:
            return 0
        self._prefixes.move_to_end(prefix)
        return min(tokens, self._prefixes[prefix])

    def add(self, prefix: str, tokens: int) -> list[tuple[str, int]]:
        """Adds a prefix, evicting others if needed.

        Returns:
            Each changed prefix with its cached tokens, 0 if it was evicted.
        """
        if not prefix or tokens > self._tokens_max:
            return []
        if self._prefixes.get(prefix, 0) >= tokens:
            return []
        self._prefixes[prefix] = tokens
        self._prefixes.move_to_end(prefix)
        changes = [(prefix, tokens)]
        while sum(self._prefixes.values()) > self._tokens_max:
            evicted, _ = self._prefixes.popitem(last=False)
            changes.append((evicted, 0))
        return changes
