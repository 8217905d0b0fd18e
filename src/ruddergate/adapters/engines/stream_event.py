"""Events of an engine's stream."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Tokens:
    """Consecutive tokens of an answer.

    Attributes:
        first: Position of the first token in the answer.
        texts: Text of each token.
    """

    first: int
    texts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """The regular end of a stream.

    Attributes:
        finish_reason: Why the engine ended it, such as `stop`.
        count: Number of tokens in the whole answer.
    """

    finish_reason: str
    count: int
