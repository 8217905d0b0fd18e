"""Client of the configuration service.

    GET /v1/manifest?after=R&wait_ms=W   200 with a manifest, or 204
    GET /v1/shards/DIGEST                200 with the shard's bytes

A watch is one long-polling request.
"""

import dataclasses

from ruddergate import environment
from ruddergate.adapters import _private
from ruddergate.http import client
from ruddergate.settings import manifest as manifests

_OK = 200
_NO_CONTENT = 204


@dataclasses.dataclass(frozen=True, slots=True)
class Unchanged:
    """The service responded that it has no newer revision."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The service did not respond, or its response is malformed.

    Attributes:
        detail: Reason, for logs.
    """

    detail: str


async def watch_manifest(
    env: environment.Environment,
    address: environment.Address,
    after_revision: int,
    wait_ms: float,
    timeout_ms: float,
) -> manifests.Manifest | Unchanged | Unavailable:
    """Returns a manifest newer than `after_revision`, by long polling.

    Args:
        env: Clock and streams.
        address: The service.
        after_revision: Revision that the caller has.
        wait_ms: Time for which the service waits for a newer revision.
        timeout_ms: Time beyond that for the request to complete.
    """
    path = f"/v1/manifest?after={after_revision}&wait_ms={wait_ms:.0f}"
    request = client.make_json_request("GET", path)
    response = await client.fetch(env, address, request, wait_ms + timeout_ms)
    if isinstance(response, client.Fault):
        return Unavailable(response.detail)
    if response.status == _NO_CONTENT:
        return Unchanged()
    if response.status != _OK:
        return Unavailable(f"unexpected status {response.status}")
    return _parse_manifest(response.json())


def _parse_manifest(document: object) -> manifests.Manifest | Unavailable:
    revision = _private.get(document, "revision", int, -1)
    shards = _private.get(document, "shards", dict, {})
    is_valid = all(isinstance(digest, str) for digest in shards.values())
    if revision < 0 or not is_valid:
        return Unavailable("the manifest is malformed")
    shard_list = [
        manifests.Shard(name, shards[name]) for name in sorted(shards)
    ]
    return manifests.Manifest(revision, tuple(shard_list))


async def fetch_shard(
    env: environment.Environment,
    address: environment.Address,
    digest: str,
    timeout_ms: float,
) -> bytes | Unavailable:
    """Returns the bytes of one shard."""
    request = client.make_json_request("GET", f"/v1/shards/{digest}")
    response = await client.fetch(env, address, request, timeout_ms)
    if isinstance(response, client.Fault):
        return Unavailable(response.detail)
    if response.status != _OK:
        return Unavailable(f"unexpected status {response.status}")
    return response.body
