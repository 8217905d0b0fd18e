"""Encodes and decodes messages, as msgpack of a tag and the ordered fields."""

from collections.abc import Callable
import dataclasses
import typing
from typing import TypeAlias

import cattrs
import msgpack
import msgspec

from ruddergate.messages import detour
from ruddergate.messages import document_part
from ruddergate.messages import entry_hello
from ruddergate.messages import entry_load
from ruddergate.messages import fleet_view
from ruddergate.messages import forward
from ruddergate.messages import gossip
from ruddergate.messages import listing_request
from ruddergate.messages import load_bundle
from ruddergate.messages import load_digest
from ruddergate.messages import loads
from ruddergate.messages import poison_reports
from ruddergate.messages import quota_loan
from ruddergate.messages import rate_token_transfer
from ruddergate.messages import retry_transfer
from ruddergate.messages import shares
from ruddergate.messages import store_changes
from ruddergate.messages import tree_parts
from ruddergate.messages import tree_request

Message: TypeAlias = (
    detour.DetourBegin
    | detour.DetourReply
    | detour.DetourRequest
    | document_part.DocumentPart
    | document_part.SettingsRequest
    | document_part.TargetsDocument
    | document_part.TargetsRequest
    | entry_hello.EntryHello
    | entry_load.EntryLoad
    | fleet_view.FleetView
    | forward.Forward
    | forward.ForwardHead
    | forward.ForwardPart
    | gossip.Gossip
    | quota_loan.QuotaLoanRequest
    | quota_loan.QuotaLoanReply
    | listing_request.ListingRequest
    | load_bundle.LoadBundle
    | load_digest.LoadDigest
    | loads.Loads
    | store_changes.StoreChangesReply
    | store_changes.StoreChangesRequest
    | rate_token_transfer.RateTokenReply
    | rate_token_transfer.RateTokenRequest
    | retry_transfer.RetryTransferReply
    | retry_transfer.RetryTransferRequest
    | shares.Shares
    | poison_reports.PoisonReports
    | tree_parts.TreeParts
    | tree_request.TreeRequest
)

# A tag never changes its meaning, because processes of two releases exchange
# messages during a rolling upgrade.
_TAGS: dict[int, type] = {
    1: entry_hello.EntryHello,
    2: entry_load.EntryLoad,
    3: fleet_view.FleetView,
    4: forward.Forward,
    5: forward.ForwardHead,
    6: forward.ForwardPart,
    7: gossip.Gossip,
    8: quota_loan.QuotaLoanRequest,
    9: quota_loan.QuotaLoanReply,
    10: loads.Loads,
    11: shares.Shares,
    12: tree_parts.TreeParts,
    13: tree_request.TreeRequest,
    14: listing_request.ListingRequest,
    # 15 is retired; it was a digest that listed peers.
    16: load_digest.LoadDigest,
    17: load_bundle.LoadBundle,
    18: store_changes.StoreChangesRequest,
    19: store_changes.StoreChangesReply,
    20: retry_transfer.RetryTransferRequest,
    21: retry_transfer.RetryTransferReply,
    22: document_part.SettingsRequest,
    23: document_part.DocumentPart,
    24: poison_reports.PoisonReports,
    25: document_part.TargetsRequest,
    26: document_part.TargetsDocument,
    27: detour.DetourRequest,
    28: detour.DetourReply,
    29: detour.DetourBegin,
    30: rate_token_transfer.RateTokenRequest,
    31: rate_token_transfer.RateTokenReply,
}
_SCALARS = (str, int, float, bool, bytes)
_TAG_BY_TYPE = {type_: tag for tag, type_ in _TAGS.items()}


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed:
    """Bytes that are not a valid message; `detail` says why, for logs."""

    detail: str


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(
        unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE
    )
    # The default hooks of cattrs look up every field's type again for each
    # value, which takes most of the time for a small message.
    converter.register_structure_hook_factory(
        dataclasses.is_dataclass,
        lambda type_: _make_dataclass_hook(converter, type_),
    )
    converter.register_structure_hook_factory(
        _is_struct, lambda type_: msgspec.convert
    )
    converter.register_unstructure_hook_factory(
        _is_struct, lambda type_: msgspec.to_builtins
    )
    converter.register_structure_hook_factory(
        _is_variadic_tuple, lambda type_: _make_tuple_hook(converter, type_)
    )
    return converter


def _make_dataclass_hook(
    converter: cattrs.Converter, type_: type
) -> Callable[[object, type], object]:
    """Returns a hook that makes a data class from its fields in order."""
    hints = typing.get_type_hints(type_)
    hooks = [
        (_find_hook(converter, hints[field.name]), hints[field.name])
        for field in dataclasses.fields(type_)
    ]

    def structure(value: object, _: type) -> object:
        if not isinstance(value, list):
            raise TypeError(f"expected a list, found {value!r:.40}")
        # A newer release may send more fields and an older one fewer.
        pairs = zip(hooks, value, strict=False)
        return type_(*[hook(each, hint) for (hook, hint), each in pairs])

    return structure


def _find_hook(
    converter: cattrs.Converter, type_: type
) -> Callable[[object, type], object]:
    """Returns the hook for a type.

    Scalars are handled here and not by a registered hook: the built-in hooks of
    cattrs for them take precedence over hook factories, and turn `"5"` into 5.
    """
    if type_ in _SCALARS:
        return _structure_scalar
    return converter.get_structure_hook(type_)


def _is_struct(type_: object) -> bool:
    return isinstance(type_, type) and issubclass(type_, msgspec.Struct)


def _is_variadic_tuple(type_: object) -> bool:
    """Returns whether a type is a tuple of variable length."""
    arguments = typing.get_args(type_)
    is_tuple = typing.get_origin(type_) is tuple
    return is_tuple and len(arguments) == 2 and arguments[1] is Ellipsis


def _make_tuple_hook(
    converter: cattrs.Converter, type_: object
) -> Callable[[object, type], object]:
    """Returns a hook that makes a tuple of values of one type."""
    hint = typing.get_args(type_)[0]
    hook = _find_hook(converter, hint)

    def structure(value: object, _: type) -> object:
        if not isinstance(value, list):
            raise TypeError(f"expected a list, found {value!r:.40}")
        return tuple([hook(each, hint) for each in value])

    return structure


def _structure_scalar(value: object, type_: type) -> object:
    """Accepts a scalar unchanged, and an integer where a float is expected."""
    if type_ is float and type(value) is int:
        return float(value)
    if type(value) is not type_:
        raise TypeError(f"expected {type_.__name__}, found {value!r:.40}")
    return value


_CONVERTER = _make_converter()
# Messages that every VM receives from every other one are decoded directly into
# their types: the time a VM spends on decoding them grows with the fleet.
_STRUCT_DECODERS: dict[int, msgspec.msgpack.Decoder] = {
    tag: msgspec.msgpack.Decoder(tuple[int, type_])
    for tag, type_ in _TAGS.items()
    if _is_struct(type_)
}
# A message begins with the header of a list of two, followed by the tag, which
# is a single byte.
_TAG_OFFSET = 1


def encode(message: Message) -> bytes:
    """Encodes a message."""
    tag = _TAG_BY_TYPE[type(message)]
    if tag in _STRUCT_DECODERS:
        return msgspec.msgpack.encode((tag, message))
    return msgpack.packb((tag, _CONVERTER.unstructure(message)))


def decode(payload: bytes) -> Message | Malformed:
    """Decodes a message, or returns Malformed for anything else."""
    decoder = _STRUCT_DECODERS.get(payload[_TAG_OFFSET] if payload[1:] else -1)
    try:
        if decoder is not None:
            return decoder.decode(payload)[1]
        tag, fields = msgpack.unpackb(payload, strict_map_key=False)
        return _CONVERTER.structure(fields, _TAGS[tag])
    except Exception as error:  # The libraries raise many types.
        return Malformed(f"malformed message: {type(error).__name__}")
