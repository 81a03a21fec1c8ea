"""Idle connections to endpoints, kept for the next request."""

from collections.abc import Collection

from plantainloft_node.engine.endpoint_link import EndpointLink

__all__ = ['LinkPool']

# Idle connections kept to one endpoint. More than its slots are of no use
# to one entry instance of several.
IDLE_PER_ENDPOINT = 4


class LinkPool:
    """Idle links by endpoint incarnation, the one used last first."""

    def __init__(self) -> None:
        self._idle_by_incarnation: dict[str, list[EndpointLink]] = {}

    def __len__(self) -> int:
        """Return the links that are kept."""
        return sum(map(len, self._idle_by_incarnation.values()))

    async def take(self, incarnation: str, now: float) -> EndpointLink | None:
        """Return an idle link that still looks open, if there is one."""
        idle = self._idle_by_incarnation.get(incarnation, [])
        while idle:
            link = idle.pop()
            if link.quiet(now):
                return link
            await link.close()
        return None

    async def give(self, incarnation: str, link: EndpointLink) -> None:
        """Keep a reusable link."""
        idle = self._idle_by_incarnation.setdefault(incarnation, [])
        idle.append(link)
        if len(idle) > IDLE_PER_ENDPOINT:
            await idle.pop(0).close()

    async def drop(self, incarnation: str) -> None:
        """Close the links to an endpoint."""
        for link in self._idle_by_incarnation.pop(incarnation, []):
            await link.close()

    async def keep_only(self, incarnations: Collection[str]) -> None:
        """Close the links to all endpoints but ``incarnations``.

        Nobody asks for a link to an endpoint that left, so nobody would
        close it: the process would run out of descriptors by four for
        each endpoint replaced, and reach a limit of 4,100 in three days at
        370 a day.
        """
        for incarnation in self._idle_by_incarnation.keys() - set(incarnations):
            await self.drop(incarnation)
