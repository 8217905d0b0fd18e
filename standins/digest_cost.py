"""Measures what it costs a VM to hear the other VMs' digests.

`python -m standins.digest_cost` has one VM of a large fleet take in what a
relay passes on. Calls of functions are counted, and are the same on every
machine; the time is this machine's.
"""

from collections.abc import Callable
from collections.abc import Iterable
import random
import sys
import time

from ruddergate.decisions import gap_class
from ruddergate.decisions import length_band
from ruddergate.decisions import peer_groups
from ruddergate.decisions import peer_loads
from ruddergate.fleet import dispatched
from ruddergate.messages import load_bundle
from ruddergate.messages import load_digest
from ruddergate.wire import codec

VMS = 195
TARGETS = 150
_BUNDLE = 24
# Of a VM's work, on so many targets.
_ROWS = 3
# Between two digests of a VM, so many of these rows change.
_CHANGED = 1
_ROUNDS = 20
_SEED = 1


def make_datagrams(rounds: int = _ROUNDS) -> list[bytes]:
    """Returns what a relay passes on in some rounds, always the same."""
    rng = random.Random(_SEED)
    rows = {vm: _draw_rows(rng, _ROWS) for vm in range(VMS)}
    datagrams: list[bytes] = []
    for number in range(rounds):
        digests = []
        for vm in range(VMS):
            kept = rows[vm][_CHANGED:]
            rows[vm] = (*kept, *_draw_rows(rng, _CHANGED))
            digests.append(
                load_digest.LoadDigest(
                    f"10.0.0.{vm}:7340",
                    f"hall-{vm % 5}",
                    100,
                    f"{vm:012x}",
                    number,
                    rows[vm],
                )
            )
        for begin in range(0, VMS, _BUNDLE):
            part = tuple(digests[begin : begin + _BUNDLE])
            bundle = load_bundle.LoadBundle("10.0.0.1:7340", False, part)
            datagrams.append(codec.encode(bundle))
    return datagrams


def _draw_rows(
    rng: random.Random, count: int
) -> tuple[dispatched.Dispatched, ...]:
    return tuple(
        dispatched.Dispatched(
            f"i-{rng.randrange(TARGETS):010x}",
            (5_000, *[0] * (length_band.BANDS - 1)),
            rng.randrange(5_000, 400_000),
            rng.randrange(1, 5),
            (1, *[0] * (gap_class.CLASSES - 1)),
            rng.uniform(0.0, 900.0),
        )
        for _ in range(count)
    )


def merge_datagrams(datagrams: Iterable[bytes]) -> int:
    """Has a VM take datagrams in; returns how many digests were news."""
    place = peer_groups.VmAttributes("hall-0", 100)
    loads = peer_loads.PeerLoads("10.0.0.0:7340", place)
    news = 0
    for data in datagrams:
        for digest in codec.decode(data).digests:
            news += loads.merge(digest, 0.0)
        loads.collect_sums()
    return news


def count_calls(work: Callable[[], object]) -> int:
    """Returns how many functions, of Python or of C, some work calls."""
    calls = 0

    def note(frame: object, event: str, argument: object) -> None:
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(note)
    try:
        work()
    finally:
        sys.setprofile(None)
    return calls


def main() -> None:
    """Prints calls and microseconds for each digest."""
    datagrams = make_datagrams()
    began_s = time.process_time()
    news = merge_datagrams(datagrams)
    took_s = time.process_time() - began_s
    calls = count_calls(lambda: merge_datagrams(datagrams))
    size = sum(map(len, datagrams))
    print(f"{news} digests that are news, {size / news:.0f} bytes each")
    print(f"{calls / news:.0f} calls, {took_s / news * 1e6:.1f} us each")


if __name__ == "__main__":
    main()
