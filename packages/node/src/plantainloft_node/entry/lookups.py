"""Answers to those who ask where to connect, and whether we are ready."""

import json
from abc import abstractmethod
from collections.abc import Callable
from http import HTTPStatus
from urllib.parse import parse_qs

import anyio

from plantainloft_core.routes import CallerLimits
from plantainloft_node.engine.exchange import Exchange, Handler
from plantainloft_node.fleet.members import FleetMember, MemberBook

__all__ = ['LookupHandler', 'ReadyHandler', 'SmallHandler', 'front_addresses']

MAX_ADDRESSES = 64
ENOUGH_IN_ZONE = 2
JSON_TYPE = (b'content-type', b'application/json')
_UNAVAILABLE = HTTPStatus.SERVICE_UNAVAILABLE


class SmallHandler(Handler):
    """Answers small requests of its own, without forwarding."""

    def limits(self) -> CallerLimits:
        """Return the limits for such requests: the defaults."""
        return CallerLimits()

    def repeatable(self, exchange: Exchange) -> bool:
        """Return that nothing is changed by such a request."""
        return True

    async def handle(self, exchange: Exchange) -> None:
        """Answer with what ``reply`` returns."""
        status, body = self.reply(exchange)
        await exchange.answer(status, [JSON_TYPE], body)

    @abstractmethod
    def reply(self, exchange: Exchange) -> tuple[int, bytes]:
        """Return status and body."""


class ReadyHandler(SmallHandler):
    """Says whether this instance may get callers."""

    def __init__(self, *, ready: Callable[[], bool]) -> None:
        self._ready = ready

    def reply(self, exchange: Exchange) -> tuple[int, bytes]:
        """Return 200 or 503."""
        return (HTTPStatus.OK if self._ready() else _UNAVAILABLE), b'{}'


class LookupHandler(SmallHandler):
    """Names the entry instances that a caller should use."""

    def __init__(
        self, *, members: MemberBook, ready: Callable[[], bool], ttl_s: Callable[[], float]
    ) -> None:
        self._members = members
        self._ready = ready
        self._ttl_s = ttl_s

    def reply(self, exchange: Exchange) -> tuple[int, bytes]:
        """Return the addresses and for how long they hold."""
        asked = parse_qs(exchange.query)
        region = asked.get('region', [''])[0]
        zone = asked.get('zone', [''])[0]
        serving = self._members.serving(anyio.current_time())
        if self._ready():
            serving.append(self._members.me)
        addresses = front_addresses(serving, region=region, zone=zone)
        if not addresses:
            return _UNAVAILABLE, b'{}'
        ttl = f'{self._ttl_s():g}s'
        return HTTPStatus.OK, json.dumps({'addresses': addresses, 'ttl': ttl}).encode()


def front_addresses(serving: list[FleetMember], *, region: str, zone: str) -> list[str]:
    """Return the addresses to name to callers of ``region``, at most 64.

    The caller's own zone, since bytes between zones are paid for; its
    region where the zone has fewer than two, so that a caller whose
    instance fails has another; all the others where nothing serves there,
    so that one region's callers do not land on one instance.
    """
    near = [member for member in serving if member.region == region]
    nearest = [member for member in near if member.zone == zone]
    named = nearest if len(nearest) >= ENOUGH_IN_ZONE else near or serving
    ordered = sorted(named, key=lambda member: (member.zone != zone, member.name))
    return [member.front for member in ordered[:MAX_ADDRESSES]]
