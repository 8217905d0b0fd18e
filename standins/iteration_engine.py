"""An engine with iteration-level batching, by the users' published figures.

Each batch iteration covers all waiting work. With streams in flight it is a
stride of steps, which prefill at most a chunk of tokens each; without any it is
one step.
"""

import asyncio
from collections.abc import Callable
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """Published figures of an engine.

    Attributes:
        slots: Requests that run at once.
        memory_tokens: KV memory.
        step_ms: Base time of a step.
        step_ms_per_stream: Time that each stream in flight adds to a step.
        step_ms_per_k_context: Time that 1,000 tokens of its context add.
        prefill_tokens_per_ms: Prompt tokens prefilled in a millisecond.
        attention_ms_per_m_pairs: Attention time for a million pairs of a token
            and one before it.
        chunk: Maximum prompt tokens prefilled in a step.
        stride: Steps in an iteration while streams are in flight.
    """

    slots: int = 8
    memory_tokens: int = 450_000
    step_ms: float = 0.925
    step_ms_per_stream: float = 0.00966
    step_ms_per_k_context: float = 0.00254
    prefill_tokens_per_ms: float = 256.0
    attention_ms_per_m_pairs: float = 0.0917
    chunk: int = 2_048
    stride: int = 46


@dataclasses.dataclass(slots=True)
class PromptPiece:
    """Part of a prompt to be prefilled on this engine.

    Attributes:
        tokens: Tokens that remain.
        pairs_m_per_token: Attention pairs of each token, in millions.
        note_read: Called with the tokens that an iteration prefilled.
        done: Set when the part is prefilled.
    """

    tokens: float
    pairs_m_per_token: float
    note_read: Callable[[float], None]
    done: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


@dataclasses.dataclass(slots=True)
class Stream:
    """An answer in flight.

    Attributes:
        context_tokens: Tokens of the prompt and the answer so far.
        events: Receives an item for each iteration that decoded tokens of it.
    """

    context_tokens: float
    events: asyncio.Queue = dataclasses.field(default_factory=asyncio.Queue)


class IterationEngine:
    """Runs batch iterations while there is work; owned by one task."""

    def __init__(self, spec: EngineSpec) -> None:
        self.spec = spec
        self.streams: list[Stream] = []
        self._pieces: list[PromptPiece] = []
        self._slots = asyncio.Semaphore(spec.slots)
        self._work = asyncio.Event()
        self._is_running = asyncio.Event()
        self._is_running.set()

    async def run(self) -> None:
        """Runs batch iterations until cancelled."""
        while True:
            await self._work.wait()
            await self._is_running.wait()
            await self._run_iteration()
            if not self.streams and not self._pieces:
                self._work.clear()

    def pause(self) -> None:
        """Begins no further iteration; the replica answers health probes."""
        self._is_running.clear()

    def resume(self) -> None:
        """Runs iterations again."""
        self._is_running.set()

    async def prefill(
        self,
        tokens: float,
        whole_tokens: float,
        note_read: Callable[[float], None] = lambda _: None,
    ) -> None:
        """Prefills a piece of a prompt.

        Args:
            tokens: Tokens of the piece.
            whole_tokens: Tokens of the whole prompt.
            note_read: Called with the tokens that an iteration prefilled.
        """
        piece = PromptPiece(tokens, whole_tokens / 2.0 / 1e6, note_read)
        self._pieces.append(piece)
        self._work.set()
        try:
            await piece.done.wait()
        finally:
            if piece in self._pieces:
                self._pieces.remove(piece)

    def start_stream(self, context_tokens: float) -> Stream:
        """Begins an answer; each iteration adds an event."""
        stream = Stream(context_tokens)
        self.streams.append(stream)
        self._work.set()
        return stream

    def stop_stream(self, stream: Stream) -> None:
        """Ends an answer."""
        if stream in self.streams:
            self.streams.remove(stream)

    def get_slots(self) -> asyncio.Semaphore:
        """Returns the semaphore that a request holds while it runs."""
        return self._slots

    async def _run_iteration(self) -> None:
        spec = self.spec
        streams = list(self.streams)
        steps = spec.stride if streams else 1
        contexts_k = sum(each.context_tokens for each in streams) / 1000.0
        step_ms = spec.step_ms + len(streams) * spec.step_ms_per_stream
        step_ms += contexts_k * spec.step_ms_per_k_context
        read, prefill_ms = self._plan_prefill(steps * spec.chunk)
        await asyncio.sleep((steps * step_ms + prefill_ms) / 1000.0)
        for piece, tokens in read:
            piece.tokens -= tokens
            piece.note_read(tokens)
            if piece.tokens <= 0.0:
                self._pieces.remove(piece) if piece in self._pieces else None
                piece.done.set()
        for stream in streams:
            stream.context_tokens += spec.stride
            stream.events.put_nowait(spec.stride)

    def _plan_prefill(
        self, tokens_max: float
    ) -> tuple[list[tuple[PromptPiece, float]], float]:
        """Returns what an iteration prefills, and how long that takes."""
        read = []
        prefill_ms = 0.0
        for piece in self._pieces:
            tokens = min(piece.tokens, tokens_max)
            if tokens <= 0.0:
                break
            tokens_max -= tokens
            read.append((piece, tokens))
            prefill_ms += tokens / self.spec.prefill_tokens_per_ms
            pairs_m = tokens * piece.pairs_m_per_token
            prefill_ms += pairs_m * self.spec.attention_ms_per_m_pairs
        return read, prefill_ms
