"""Documents on their way from one gateway to another, part by part."""

import dataclasses

from ruddergate.fleet import target as targets


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsRequest:
    """Asks a peer for one part of its settings.

    Attributes:
        sender: Where the asking gateway takes datagrams (HOST:PORT).
        question: Name of this question; the answer repeats it.
        revision: Revision of the settings.
        part: Which part, from 0.
    """

    sender: str
    correlation_id: str
    revision: int
    part: int


@dataclasses.dataclass(frozen=True, slots=True)
class TargetsRequest:
    """Asks a peer for one part of its list of targets.

    Attributes:
        sender: Where the asking gateway takes datagrams (HOST:PORT).
        question: Name of this question; the answer repeats it.
        epoch: The store's epoch that the list is of.
        revision: The store's revision that the list is of.
        part: Which part, from 0.
    """

    sender: str
    correlation_id: str
    epoch: int
    revision: int
    part: int


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentPart:
    """The answer to a question for a part.

    Attributes:
        question: Name of the question.
        parts: How many parts there are.
        data: The part of the compressed document.
    """

    correlation_id: str
    part_count: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class TargetsDocument:
    """Everything that the store lists of targets at one position.

    Attributes:
        listed: An entry of each target.
    """

    listed: tuple[targets.Target, ...]
