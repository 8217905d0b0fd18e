"""What a VM asks its peers of the store."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses

from ruddergate.entry import document_exchange
from ruddergate.fleet import store_position
from ruddergate.messages import store_changes


@dataclasses.dataclass(frozen=True, slots=True)
class SourcePeers:
    """What is asked of peers.

    Attributes:
        rank_hall: Returns this hall's VMs in the order of readers, this one
            among them.
        own: Name of this VM there.
        ask: Asks one for news since a position; None without an answer.
        ask_settings: Asks one for a part of a revision of the settings.
        ask_targets: Asks one for a part of its targets at a position.
    """

    rank_hall: Callable[[], Sequence[str]]
    own: str
    ask: Callable[
        [str, store_position.StorePosition],
        Awaitable[store_changes.StoreChangesReply | None],
    ]
    ask_settings: document_exchange.AskPart[int]
    ask_targets: document_exchange.AskPart[store_position.StorePosition]
