"""Published settings on their way from one gateway to another."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsWanted:
    """Asks a peer for one part of its settings.

    Attributes:
        sender: Where the asking gateway takes datagrams (HOST:PORT).
        question: Name of this question; the answer repeats it.
        revision: Revision of the settings.
        part: Which part, from 0.
    """

    sender: str
    question: str
    revision: int
    part: int


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsPart:
    """The answer to a `SettingsWanted`.

    Attributes:
        question: Name of the question.
        parts: How many parts there are.
        data: The part of the compressed document.
    """

    question: str
    parts: int
    data: bytes
