"""The first message from an entry to its agent."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class EntryHello:
    """Tells an agent, which may just have started, what the entry uses.

    Attributes:
        incarnation: Incarnation of the entry.
        revision: Revision of the settings tree in force at the entry.
    """

    incarnation: str
    revision: int
