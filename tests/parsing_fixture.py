"""Counts the pieces of HTTP messages that are parsed."""

import contextlib
from unittest import mock

from ruddergate.http import parsing_rate


def count_pieces() -> contextlib.AbstractContextManager[mock.Mock]:
    """Returns a context whose value has `call_count`, the pieces parsed."""
    return mock.patch.object(
        parsing_rate.ParsingRate,
        "note_piece",
        autospec=True,
        side_effect=parsing_rate.ParsingRate.note_piece,
    )


def find_max_pieces(seconds: float) -> float:
    """Returns how many pieces of one connection may be parsed in a time."""
    return (
        parsing_rate.BURST_PIECES
        + parsing_rate.PIECES_PER_TURN
        + seconds * parsing_rate.PIECES_PER_S
    )
