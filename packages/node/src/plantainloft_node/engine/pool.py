"""Idle connections to endpoints, kept for the next request."""

from plantainloft_node.engine.endpoint_link import EndpointLink

__all__ = ['LinkPool']

# Idle connections kept to one endpoint. More than its slots are of no use
# to one entry instance of several.
IDLE_PER_ENDPOINT = 4


class LinkPool:
    """Idle links by endpoint id, the one used last first."""

    def __init__(self) -> None:
        self._idle_by_id: dict[str, list[EndpointLink]] = {}

    async def take(self, endpoint_id: str, now: float) -> EndpointLink | None:
        """Return an idle link that still looks open, if there is one."""
        idle = self._idle_by_id.get(endpoint_id, [])
        while idle:
            link = idle.pop()
            if link.quiet(now):
                return link
            await link.close()
        return None

    async def give(self, endpoint_id: str, link: EndpointLink) -> None:
        """Keep a reusable link."""
        idle = self._idle_by_id.setdefault(endpoint_id, [])
        idle.append(link)
        if len(idle) > IDLE_PER_ENDPOINT:
            await idle.pop(0).close()

    async def drop(self, endpoint_id: str) -> None:
        """Close the links to an endpoint that is gone."""
        for link in self._idle_by_id.pop(endpoint_id, []):
            await link.close()
