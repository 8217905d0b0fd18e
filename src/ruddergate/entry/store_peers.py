"""What a VM asks its peers of the store."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses

from ruddergate.entry import document_exchange
from ruddergate.fleet import store_position
from ruddergate.messages import news


@dataclasses.dataclass(frozen=True, slots=True)
class StorePeers:
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
        [str, store_position.StorePosition], Awaitable[news.News | None]
    ]
    request_settings: document_exchange.AskPart[int]
    request_targets: document_exchange.AskPart[store_position.StorePosition]
