"""HTTP endpoint for operators: metrics, quarantined requests and organisations."""

import json
from collections.abc import Callable, Mapping
from http import HTTPStatus
from urllib.parse import parse_qs

import anyio

from plantainloft_node.endpoint_limits.listing import list_limits
from plantainloft_node.endpoint_signals.announcements import EndpointAnnouncements
from plantainloft_node.endpoint_signals.listing import list_announcements
from plantainloft_node.engine.exchange import Exchange
from plantainloft_node.entry.lookups import LocalHandler
from plantainloft_node.entry.metrics_report import MetricsReport
from plantainloft_node.links.listing import list_links
from plantainloft_node.links.monitor import LinkMonitor
from plantainloft_node.quarantine.fingerprints import parse_fingerprint
from plantainloft_node.quarantine.quarantine import Quarantine
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
    - ``GET /scarcity``: lists what overload control admits to each service, and rejects.
    - ``GET /store-returns``: lists the last return of the store from a copy, in a list of one.
    - any other path: returns all metrics as text.
    """

    def __init__(
        self,
        *,
        metrics_text: Callable[[], str],
        quarantine: Quarantine,
        report: MetricsReport,
        announcements: EndpointAnnouncements,
        links: LinkMonitor,
        retry_budgets: RetryBudgets,
    ) -> None:
        self._metrics_text = metrics_text
        self._quarantine = quarantine
        self._listing_by_path: Mapping[str, Callable[[], object]] = {
            '/quarantine': lambda: quarantine.list_entries(anyio.current_time()),
            '/organisations': report.organisations,
            '/endpoint-limits': lambda: list_limits(report.endpoint_limits()),
            '/endpoint-signals': lambda: list_announcements(announcements, anyio.current_time()),
            '/endpoint-links': lambda: list_links(links, anyio.current_time()),
            '/retry-budgets': lambda: [
                usage._asdict() for usage in retry_budgets.usage(anyio.current_time())
            ],
            '/scarcity': report.scarcity,
            '/store-returns': lambda: [report.store_return()],
        }

    def reply(self, exchange: Exchange) -> tuple[int, bytes]:
        """Return the status and body of the response."""
        if exchange.path == '/quarantine/lift' and exchange.method == b'POST':
            return self._lift(parse_qs(exchange.query).get('request', [''])[0])
        listing = self._listing_by_path.get(exchange.path)
        if listing is not None:
            return HTTPStatus.OK, json.dumps(listing()).encode()
        return HTTPStatus.OK, self._metrics_text().encode()

    def _lift(self, raw: str) -> tuple[int, bytes]:
        fingerprint = parse_fingerprint(raw)
        if fingerprint is None:
            return HTTPStatus.BAD_REQUEST, b'{"problem": "not a fingerprint"}'
        lifted = self._quarantine.lift(fingerprint, anyio.current_time())
        return (HTTPStatus.OK if lifted else HTTPStatus.NOT_FOUND), b'{}'
