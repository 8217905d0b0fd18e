"""What an engine's stream brings."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Tokens:
    """Some tokens in order.

    Attributes:
        first: Position of the first of them in the answer.
        texts: Text of each token.
    """

    first: int
    texts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """The proper end of a stream.

    Attributes:
        finish_reason: Why the engine ended it, such as `stop`.
        count: Tokens in the whole answer.
    """

    finish_reason: str
    count: int
