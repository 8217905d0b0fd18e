"""Limits the processor time that the parsing of one connection takes."""

import asyncio

# Pieces, such as chunks, that are parsed without a pause, and how many a second
# beyond them.
BURST_PIECES = 4_096
PIECES_PER_S = 2_000.0
# Pieces that are parsed before other tasks have a turn.
PIECES_PER_TURN = 64
_PAUSE_S = 0.02


class ParsingRate:
    """The rate at which one connection's pieces are parsed: a token bucket.

    A peer that sends tiny pieces without end would otherwise keep the event
    loop busy, as reading doesn't yield to it while there is data.
    """

    def __init__(self) -> None:
        self._free_pieces = float(BURST_PIECES)
        self._refilled_s = asyncio.get_running_loop().time()
        self._pieces_in_turn = 0

    def note_piece(self) -> None:
        """Counts a piece that was parsed."""
        self._free_pieces -= 1.0
        self._pieces_in_turn += 1

    async def wait(self) -> None:
        """Waits until a further piece may be parsed."""
        if self._pieces_in_turn < PIECES_PER_TURN:
            return
        self._pieces_in_turn = 0
        await asyncio.sleep(0.0)
        self._refill()
        while self._free_pieces <= 0.0:
            await asyncio.sleep(_PAUSE_S)
            self._refill()

    def _refill(self) -> None:
        now_s = asyncio.get_running_loop().time()
        elapsed_s = now_s - self._refilled_s
        self._refilled_s = now_s
        self._free_pieces = min(
            float(BURST_PIECES), self._free_pieces + elapsed_s * PIECES_PER_S
        )
