"""Another writer that leaves odd entries among those of the workers."""

import itertools
import random

import msgspec
from twisted.internet import reactor

from citronmount.fleet_service import ports
from citronmount.platform.tests import loopback_site
from citronmount.standins import pool_log

__all__ = ["OtherWriter"]

GAP_S = (0.2, 2.0)
VALID_ENTRY = {
    "backend": "s",
    "address": "127.0.0.1:9",
    "zone": "zone-0",
    "state": "ready",
    "free_resources": {"cpu": 1, "mem_mb": 1, "gpu": 1},
    "labels": ["a", "rack-0"],
    "born": 1,
    "host_machine": "m-odd",
}
NESTED = b"[" * 20_000 + b"]" * 20_000


def entry_with(**changes: object) -> bytes:
    return msgspec.json.encode({**VALID_ENTRY, **changes})


ODD_ENTRIES = (
    b"",
    b"\xff\xfe\x00",
    NESTED,
    entry_with().replace(b'"born":1', b'"born":' + NESTED),
    entry_with().replace(b'"born":1', b'"born":1' + b"0" * 400),
    entry_with(born=1 << 62),
    entry_with(free_resources={"cpu": 1 << 64, "mem_mb": 1, "gpu": 1}),
    entry_with(free_resources={"cpu": -1, "mem_mb": 1, "gpu": 1}),
    entry_with(address="127.0.0.1:port"),
    entry_with(address="127.0.0.1:80800"),
    entry_with(address=[1]),
    entry_with(labels=[]),
    entry_with(state="odd"),
    entry_with(backend="odd"),
)


class OtherWriter:
    """Appends odd entries at random times, each under a key of its own."""

    def __init__(self, *, seed: int, log: pool_log.PoolLog) -> None:
        self._rng = random.Random(seed)
        self._log = log
        self._numbers = itertools.count()

    def append_entry(self) -> None:
        key = f"odd-{next(self._numbers)}"
        value = self._rng.choice(ODD_ENTRIES)
        self._log.append_records(ports.Topic.WORKERS, [(key, value)])

    async def run(self, duration_s: float) -> None:
        end_s = reactor.seconds() + duration_s
        while reactor.seconds() < end_s:
            await loopback_site.sleep(loopback_site.draw(self._rng, *GAP_S))
            self.append_entry()
