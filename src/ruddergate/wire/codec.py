"""Messages to bytes and back: msgpack of a tag and the fields in order."""

import dataclasses
from typing import TypeAlias

import cattrs
import msgpack

from ruddergate.messages import entry_hello
from ruddergate.messages import entry_load
from ruddergate.messages import fleet_view
from ruddergate.messages import forward
from ruddergate.messages import gossip
from ruddergate.messages import lend
from ruddergate.messages import listing_wanted
from ruddergate.messages import load_digest
from ruddergate.messages import loads
from ruddergate.messages import shares
from ruddergate.messages import tree_parts
from ruddergate.messages import tree_wanted

Message: TypeAlias = (
    entry_hello.EntryHello
    | entry_load.EntryLoad
    | fleet_view.FleetView
    | forward.Forward
    | forward.ForwardHead
    | forward.ForwardPart
    | gossip.Gossip
    | lend.LendWanted
    | lend.Lent
    | listing_wanted.ListingWanted
    | load_digest.LoadDigest
    | loads.Loads
    | shares.Shares
    | tree_parts.TreeParts
    | tree_wanted.TreeWanted
)

# A tag never changes its meaning: processes of two releases talk to each
# other while VMs are replaced.
_TAGS: dict[int, type] = {
    1: entry_hello.EntryHello,
    2: entry_load.EntryLoad,
    3: fleet_view.FleetView,
    4: forward.Forward,
    5: forward.ForwardHead,
    6: forward.ForwardPart,
    7: gossip.Gossip,
    8: lend.LendWanted,
    9: lend.Lent,
    10: loads.Loads,
    11: shares.Shares,
    12: tree_parts.TreeParts,
    13: tree_wanted.TreeWanted,
    14: listing_wanted.ListingWanted,
    15: load_digest.LoadDigest,
}
_SCALARS = (str, int, float, bool, bytes)
_TAG_OF = {type_: tag for tag, type_ in _TAGS.items()}


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed:
    """Bytes that are no message; `detail` says why, for logs."""

    detail: str


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(
        unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE
    )
    # By identity: a hook for `str` would also catch enumerations of text.
    converter.register_structure_hook_func(
        lambda type_: type_ in _SCALARS, _take_scalar
    )
    return converter


def _take_scalar(value: object, type_: type) -> object:
    """Takes a scalar as it is; cattrs alone would turn `"5"` into 5."""
    if type_ is float and type(value) is int:
        return float(value)
    if type(value) is not type_:
        raise TypeError(f"expected {type_.__name__}, found {value!r:.40}")
    return value


_CONVERTER = _make_converter()


def encode(message: Message) -> bytes:
    """Returns the message as bytes."""
    fields = _CONVERTER.unstructure(message)
    return msgpack.packb((_TAG_OF[type(message)], fields))


def decode(payload: bytes) -> Message | Malformed:
    """Returns the message, or Malformed for anything else."""
    try:
        tag, fields = msgpack.unpackb(payload, strict_map_key=False)
        return _CONVERTER.structure(fields, _TAGS[tag])
    except Exception as error:  # msgpack and cattrs raise many types.
        return Malformed(f"malformed message: {type(error).__name__}")
