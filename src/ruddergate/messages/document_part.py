"""Transfer of large documents between gateways, one part per datagram."""

import dataclasses

from ruddergate.fleet import target as targets


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsRequest:
    """Requests one part of a peer's settings.

    Attributes:
        sender: Address at which the requester receives datagrams (HOST:PORT).
        correlation_id: Identifies the request; the reply repeats it.
        revision: Requested revision of the settings.
        part: Index of the part, from 0.
    """

    sender: str
    correlation_id: str
    revision: int
    part: int


@dataclasses.dataclass(frozen=True, slots=True)
class TargetsRequest:
    """Requests one part of a peer's list of targets.

    Attributes:
        sender: Address at which the requester receives datagrams (HOST:PORT).
        correlation_id: Identifies the request; the reply repeats it.
        epoch: The store's epoch of the requested list.
        revision: The store's revision of the requested list.
        part: Index of the part, from 0.
    """

    sender: str
    correlation_id: str
    epoch: int
    revision: int
    part: int


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentPart:
    """The reply to a `SettingsRequest` or a `TargetsRequest`.

    Attributes:
        correlation_id: Identifies the request.
        part_count: Number of parts of the document.
        data: This part of the compressed document.
    """

    correlation_id: str
    part_count: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class TargetsDocument:
    """The whole list of targets in the store at one position.

    Attributes:
        listed: One entry per target.
    """

    listed: tuple[targets.Target, ...]
