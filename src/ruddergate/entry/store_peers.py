"""Functions that request from peers what they have read from the store."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses

from ruddergate.entry import document_exchange
from ruddergate.fleet import store_position
from ruddergate.messages import store_changes


@dataclasses.dataclass(frozen=True, slots=True)
class StorePeers:
    """Functions that make requests to peers.

    Attributes:
        rank_hall: Returns this hall's VMs, this one included, in the order in
            which they become readers.
        own: Name of this VM among them.
        list_elsewhere: Returns the VMs of other halls.
        seeds: Addresses at which some VMs may be found right after the start,
            this one not included.
        request_changes: Requests a peer's changes since a position; returns
            None without a reply.
        request_at_start: The same for a VM that has just started.
        request_settings: Requests a part of a revision of the settings.
        request_targets: Requests a part of a peer's targets at a position.
    """

    rank_hall: Callable[[], Sequence[str]]
    own: str
    list_elsewhere: Callable[[], Sequence[str]]
    request_changes: Callable[
        [str, store_position.StorePosition],
        Awaitable[store_changes.StoreChangesReply | None],
    ]
    request_at_start: Callable[
        [str, store_position.StorePosition],
        Awaitable[store_changes.StoreChangesReply | None],
    ]
    request_settings: document_exchange.RequestPart[int]
    request_targets: document_exchange.RequestPart[store_position.StorePosition]
    seeds: Sequence[str]
