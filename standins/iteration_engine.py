"""An engine that works in passes, by the users' published figures.

Each pass covers all that waits. With answers under way it plays a stride of
steps and reads at most a chunk of tokens in each; without any it is one step.
"""

import asyncio
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """Published figures of an engine.

    Attributes:
        slots: Requests that run at once.
        memory_tokens: KV memory.
        step_ms: One step.
        per_seq_ms: Added to a step for each answer under way.
        context_ms_per_k: Added for 1,000 tokens of its context.
        read_per_ms: Prompt tokens read in a millisecond.
        pairs_ms_per_m: For a million pairs of a token and one before it.
        chunk: Prompt tokens read in a step at most.
        stride: Steps in a pass while answers are under way.
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
class PrefillPart:
    """Part of a prompt to be read here.

    Attributes:
        tokens: Tokens not read yet.
        pairs_m_per_token: Million pairs that each of them stands for.
        done: Set when it is read.
    """

    tokens: float
    pairs_m_per_token: float
    done: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


@dataclasses.dataclass(slots=True)
class Stream:
    """An answer under way.

    Attributes:
        context_tokens: Prompt and answer so far.
        events: Gets an item for each pass that wrote, and for none other.
    """

    context_tokens: float
    events: asyncio.Queue = dataclasses.field(default_factory=asyncio.Queue)


class IterationEngine:
    """Plays passes for as long as there is work; owned by one task."""

    def __init__(self, spec: EngineSpec) -> None:
        self.spec = spec
        self.streams: list[Stream] = []
        self._pieces: list[PrefillPart] = []
        self._places = asyncio.Semaphore(spec.slots)
        self._work = asyncio.Event()

    async def run(self) -> None:
        """Plays passes until cancelled."""
        while True:
            await self._work.wait()
            await self._play_pass()
            if not self.streams and not self._pieces:
                self._work.clear()

    async def read(self, tokens: float, whole_tokens: float) -> None:
        """Reads a piece of a prompt of that whole length."""
        piece = PrefillPart(tokens, whole_tokens / 2.0 / 1e6)
        self._pieces.append(piece)
        self._work.set()
        try:
            await piece.done.wait()
        finally:
            if piece in self._pieces:
                self._pieces.remove(piece)

    def start_stream(self, context_tokens: float) -> Stream:
        """Begins an answer; its events come pass by pass."""
        stream = Stream(context_tokens)
        self.streams.append(stream)
        self._work.set()
        return stream

    def stop_stream(self, stream: Stream) -> None:
        """Ends an answer."""
        if stream in self.streams:
            self.streams.remove(stream)

    def get_slots(self) -> asyncio.Semaphore:
        """Returns what a request holds while it runs."""
        return self._places

    async def _play_pass(self) -> None:
        spec = self.spec
        streams = list(self.streams)
        steps = spec.stride if streams else 1
        contexts_k = sum(each.context_tokens for each in streams) / 1000.0
        step_ms = spec.step_ms + len(streams) * spec.step_ms_per_stream
        step_ms += contexts_k * spec.step_ms_per_k_context
        read, reading_ms = self._take_reading(steps * spec.chunk)
        await asyncio.sleep((steps * step_ms + reading_ms) / 1000.0)
        for piece, tokens in read:
            piece.tokens -= tokens
            if piece.tokens <= 0.0:
                self._pieces.remove(piece) if piece in self._pieces else None
                piece.done.set()
        for stream in streams:
            stream.context_tokens += spec.stride
            stream.events.put_nowait(spec.stride)

    def _take_reading(
        self, most_tokens: float
    ) -> tuple[list[tuple[PrefillPart, float]], float]:
        """Returns what a pass reads, and how long that takes."""
        read = []
        reading_ms = 0.0
        for piece in self._pieces:
            tokens = min(piece.tokens, most_tokens)
            if tokens <= 0.0:
                break
            most_tokens -= tokens
            read.append((piece, tokens))
            reading_ms += tokens / self.spec.prefill_tokens_per_ms
            pairs_m = tokens * piece.pairs_m_per_token
            reading_ms += pairs_m * self.spec.attention_ms_per_m_pairs
        return read, reading_ms
