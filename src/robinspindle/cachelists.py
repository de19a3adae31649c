"""Regains what engines' caches hold after a start, from peers or else from engines.

A gateway that starts believes all caches to be empty and would have every shared part
read again. Peers that know better tell it, one engine a datagram. Where none does, as
all gateways were gone at once, the first of them asks each engine for its list and
tells the others.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol

from robinspindle.calls import CallLimits, call_apart
from robinspindle.core.authority import has_lowest_name
from robinspindle.core.engines import Engine, note_earlier_cache
from robinspindle.core.forwarding import Part
from robinspindle.core.targets import Target
from robinspindle.core.upstreamaccount import UpstreamAccount
from robinspindle.exceptions import BadDocumentError
from robinspindle.fleet import Fleet
from robinspindle.httpclient import ConnectionBrokenError
from robinspindle.logs import Log
from robinspindle.peers import Peers, list_heard

PEERS_FIRST_S = 0.4
"""How long peers are waited for before engines are asked, seconds: the first lists come
much sooner."""

MOST_LIST_BYTES = 8 << 20
"""Longest list of an engine: one of all blocks of its memory is a quarter as long."""

ASK_LIMITS = CallLimits(0.5, 0.5, 0.5, MOST_LIST_BYTES)
"""How long an engine's list is waited for: many engines are asked at once, so on a slow
link the lists come in turns."""

MOST_AT_ONCE = 8
"""Engines that are asked at a time: the usual lists of so many fit into what answers of
upstreams may take in a small process."""

LIST_READ = 200
"""The one status that says that a list follows."""


class ListDialect(Protocol):
    """How lists of what a cache holds are asked for."""

    def encode_cache_list_call(self, address: str) -> bytes:
        """Write a call for the list."""

    def decode_cache_list(self, body: bytes) -> list[Part]:
        """Read the list."""


class CacheLists:
    """Asks engines for what they hold, once after a start."""

    def __init__(
        self,
        fleet: Fleet,
        peers: Peers,
        dialect: ListDialect,
        account: UpstreamAccount,
        clock: Callable[[], float],
        log: Log,
    ):
        self._account = account
        self._turns = asyncio.Semaphore(MOST_AT_ONCE)
        self._fleet = fleet
        self._peers = peers
        self._dialect = dialect
        self._clock = clock
        self._log = log

    async def regain(self) -> None:
        """Wait for peers to tell, then ask for what nobody told, and tell it on."""
        while not self._fleet.directory.is_list_read:
            await asyncio.sleep(PEERS_FIRST_S)
        await asyncio.sleep(PEERS_FIRST_S)
        self._fleet.knows_new_caches = True
        if not has_lowest_name(self._peers.name, list_heard(self._peers)):
            return
        unknown = [
            (target, engine)
            for target, engine in self._fleet.list_all_engines()
            if not engine.is_cache_known
        ]
        await asyncio.gather(*(self._ask(*pair) for pair in unknown))
        known = [t.announced.lifetime for t, e in unknown if e.is_cache_known]
        self._peers.spread_caches = known

    async def _ask(self, target: Target, engine: Engine) -> None:
        lifetime = target.announced.lifetime
        try:
            async with self._turns:
                parts = await self._fetch(target)
        except (ConnectionBrokenError, TimeoutError, BadDocumentError) as error:
            # The belief stays empty; placements fill it.
            self._log("cache not listed", target=lifetime, error=str(error))
            return
        note_earlier_cache(engine, parts)
        self._log("cache listed", target=lifetime, parts=len(parts))

    async def _fetch(self, target: Target) -> list[Part]:
        pool = self._fleet.make_call_pool(target)
        data = self._dialect.encode_cache_list_call(target.announced.address)
        head, body = await call_apart(
            pool, self._clock, data, ASK_LIMITS, self._account
        )
        if head.status != LIST_READ:
            raise BadDocumentError(f"status {head.status}")
        return self._dialect.decode_cache_list(body)
