"""Fake of the platform's configuration service."""

import asyncio
import pathlib
import urllib.parse

import cyclopts
import orjson

from ruddergate import environment
from ruddergate.http import message
from ruddergate.http import server
from ruddergate.settings import manifest as manifests
from standins import _private


class Configuration:
    """Revisions of a settings tree; can serve an older one than the newest.

    Attributes:
        request_counts: Number of requests by kind, including waiting ones.
        revisions_behind: How many revisions the served one is behind the
            newest.
    """

    def __init__(self) -> None:
        self.request_counts: dict[str, int] = {}
        self.revisions_behind = 0
        self._manifests: list[manifests.Manifest] = [manifests.EMPTY]
        self._shards: dict[str, bytes] = {}
        self._changed = asyncio.Event()

    @property
    def newest_revision(self) -> int:
        """The newest published revision."""
        return self._manifests[-1].revision

    def publish(self, shards: dict[str, bytes]) -> int:
        """Publishes the next revision and returns its number."""
        revision = self.newest_revision + 1
        self._manifests.append(manifests.make_manifest(revision, shards))
        for data in shards.values():
            self._shards[manifests.digest(data)] = data
        self.notify_watchers()
        return revision

    def find_newest_shards(self) -> dict[str, bytes]:
        """Returns the shards of the newest revision by name."""
        shards = self._manifests[-1].shards
        return {shard.name: self._shards[shard.digest] for shard in shards}

    def notify_watchers(self) -> None:
        """Makes waiting watches check the served revision again."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(
        self, incoming: message.IncomingRequest
    ) -> message.Response:
        """Answers one HTTP request."""
        if incoming.path == "/v1/manifest":
            self._count_request("manifest")
            query = dict(urllib.parse.parse_qsl(incoming.query))
            after = int(query.get("after", 0))
            return await self._watch(after, float(query.get("wait_ms", 0)))
        if incoming.path.startswith("/v1/shards/"):
            self._count_request("shard")
            data = self._shards.get(incoming.path.rpartition("/")[2])
            if data is not None:
                headers = {"content-type": message.JSON_TYPE}
                return message.Response(200, headers, data)
        if incoming.path == "/admin/publish":
            shards = {
                name: orjson.dumps(shard)
                for name, shard in orjson.loads(incoming.body).items()
            }
            revision = self.publish(shards)
            return message.make_json_response(200, {"revision": revision})
        return message.make_json_response(404, {})

    async def _watch(self, after: int, wait_ms: float) -> message.Response:
        try:
            async with asyncio.timeout(wait_ms / 1000.0):
                while self._find_served().revision <= after:
                    await self._changed.wait()
        except TimeoutError:
            return message.Response(204, {}, b"")
        served = self._find_served()
        shards = {shard.name: shard.digest for shard in served.shards}
        document = {"revision": served.revision, "shards": shards}
        return message.make_json_response(200, document)

    def _find_served(self) -> manifests.Manifest:
        behind = min(self.revisions_behind, len(self._manifests) - 1)
        return self._manifests[-1 - behind]

    def _count_request(self, kind: str) -> None:
        self.request_counts[kind] = self.request_counts.get(kind, 0) + 1


async def serve(
    env: environment.Environment,
    address: environment.Address,
    configuration: Configuration,
) -> None:
    """Serves the configuration until cancelled."""
    limits = server.Limits()
    handler = server.make_stream_handler(configuration.handle, limits)
    await env.serve(handler, address)
    await asyncio.Event().wait()


def main(*, listen: str, tree: pathlib.Path) -> None:
    """Runs the fake configuration service.

    Args:
        listen: Address to listen at (HOST:PORT).
        tree: File with the only shard of the first revision.
    """
    configuration = Configuration()
    configuration.publish({"main": tree.read_bytes()})
    env = environment.make_system_environment()
    _private.run_until_signal(
        serve(env, environment.parse_address(listen), configuration)
    )


if __name__ == "__main__":
    cyclopts.run(main)
