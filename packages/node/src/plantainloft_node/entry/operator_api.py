"""HTTP endpoint for operators: metrics, quarantined requests and organisations."""

import json
from collections.abc import Callable
from http import HTTPStatus
from urllib.parse import parse_qs

import anyio

from plantainloft_node.endpoint_limits.limiter import LimitUsage
from plantainloft_node.endpoint_limits.listing import list_limits
from plantainloft_node.endpoint_signals.announcements import EndpointAnnouncements
from plantainloft_node.endpoint_signals.listing import list_announcements
from plantainloft_node.engine.exchange import Exchange
from plantainloft_node.entry.lookups import LocalHandler
from plantainloft_node.limits.organisation_listing import ListedOrganisation
from plantainloft_node.links.listing import list_links
from plantainloft_node.links.monitor import LinkMonitor
from plantainloft_node.quarantine.fingerprints import parse_fingerprint
from plantainloft_node.quarantine.quarantine import Quarantine
from plantainloft_node.replica.return_listing import StoreReturnEntry
from plantainloft_node.retry_budget.registry import RetryBudgets

__all__ = ['OperatorHandler']


class OperatorHandler(LocalHandler):
    """Answers on the metrics address.

    - ``GET /quarantine``: lists the quarantined requests.
    - ``POST /quarantine/lift?request=FINGERPRINT``: releases a request from
      quarantine.
    - ``GET /organisations``: lists the organisations with their limits and usage.
    - ``GET /endpoint-limits``: lists the endpoints that name a request limit.
    - ``GET /endpoint-signals``: lists the endpoints that leave or ask for rest.
    - ``GET /endpoint-links``: lists the links to the endpoints of each zone.
    - ``GET /retry-budgets``: lists the use of the retry budget of each service.
    - ``GET /store-returns``: lists the last return of the store from a copy, in a list of one.
    - any other path: returns all metrics as text.
    """

    def __init__(
        self,
        *,
        metrics_text: Callable[[], str],
        quarantine: Quarantine,
        organisations: Callable[[], list[ListedOrganisation]],
        endpoint_limits: Callable[[], list[LimitUsage]],
        store_return: Callable[[], StoreReturnEntry],
        announcements: EndpointAnnouncements,
        links: LinkMonitor,
        retry_budgets: RetryBudgets,
    ) -> None:
        self._metrics_text = metrics_text
        self._organisations = organisations
        self._endpoint_limits = endpoint_limits
        self._store_return = store_return
        self._announcements = announcements
        self._quarantine = quarantine
        self._links = links
        self._retry_budgets = retry_budgets

    def reply(self, exchange: Exchange) -> tuple[int, bytes]:
        """Return the status and body of the response."""
        if exchange.path == '/quarantine':
            listed = self._quarantine.list_entries(anyio.current_time())
            return HTTPStatus.OK, json.dumps(listed).encode()
        if exchange.path == '/quarantine/lift' and exchange.method == b'POST':
            return self._lift(parse_qs(exchange.query).get('request', [''])[0])
        if exchange.path == '/organisations':
            return HTTPStatus.OK, json.dumps(self._organisations()).encode()
        if exchange.path == '/endpoint-limits':
            return HTTPStatus.OK, json.dumps(list_limits(self._endpoint_limits())).encode()
        if exchange.path == '/endpoint-signals':
            announced = list_announcements(self._announcements, anyio.current_time())
            return HTTPStatus.OK, json.dumps(announced).encode()
        if exchange.path == '/endpoint-links':
            listed_links = list_links(self._links, anyio.current_time())
            return HTTPStatus.OK, json.dumps(listed_links).encode()
        if exchange.path == '/retry-budgets':
            usages = self._retry_budgets.usage(anyio.current_time())
            return HTTPStatus.OK, json.dumps([usage._asdict() for usage in usages]).encode()
        if exchange.path == '/store-returns':
            return HTTPStatus.OK, json.dumps([self._store_return()]).encode()
        return HTTPStatus.OK, self._metrics_text().encode()

    def _lift(self, raw: str) -> tuple[int, bytes]:
        fingerprint = parse_fingerprint(raw)
        if fingerprint is None:
            return HTTPStatus.BAD_REQUEST, b'{"problem": "not a fingerprint"}'
        lifted = self._quarantine.lift(fingerprint, anyio.current_time())
        return (HTTPStatus.OK if lifted else HTTPStatus.NOT_FOUND), b'{}'
