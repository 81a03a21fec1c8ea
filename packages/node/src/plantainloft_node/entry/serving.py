"""The components that process callers' requests, and how they are wired."""

from typing import NamedTuple

from plantainloft_node.engine.dialect import HeaderNames
from plantainloft_node.engine.dispatch import Dispatcher
from plantainloft_node.engine.front import Front
from plantainloft_node.engine.pool import LinkPool
from plantainloft_node.engine.sender import Sender
from plantainloft_node.entry.observing import Observation
from plantainloft_node.entry.report import MetricsReport
from plantainloft_node.entry.settings import EntrySettings
from plantainloft_node.entry.terms import limit_parameters, placement_terms, retry_terms
from plantainloft_node.limits.limiter import RequestLimiter
from plantainloft_node.placing.placement import Placement
from plantainloft_node.quarantine.crash_checks import CrashChecks, EndpointRun
from plantainloft_node.quarantine.quarantine import Quarantine

__all__ = ['RequestPipeline', 'build_request_pipeline']


class RequestPipeline(NamedTuple):
    """The components that place, send and answer requests."""

    placement: Placement
    pool: LinkPool
    dispatcher: Dispatcher
    front: Front
    crash_checks: CrashChecks
    limiter: RequestLimiter

    def apply_settings(self, settings: EntrySettings) -> None:
        """Apply the limits of reloaded settings."""
        self.placement.terms = placement_terms(settings)
        self.dispatcher.retries = retry_terms(settings)
        self.limiter.terms = limit_parameters(settings)


def build_request_pipeline(
    *,
    settings: EntrySettings,
    names: HeaderNames,
    observation: Observation,
    report: MetricsReport,
    quarantine: Quarantine,
) -> RequestPipeline:
    """Return the components that process requests, based on the state in ``observation``."""
    placement = Placement(terms=placement_terms(settings), book=observation.book)
    pool = LinkPool()

    def note_crash(run: EndpointRun, now: float) -> None:
        observation.book.note_ended(run.incarnation, now)
        quarantine.note_crash(run, now)

    crash_checks = CrashChecks(on_crash=note_crash)
    dispatcher = Dispatcher(
        names=names,
        placement=placement,
        sender=Sender(names=names, pool=pool),
        retries=retry_terms(settings),
        crash_checks=crash_checks,
        quarantine=quarantine,
    )
    limiter = RequestLimiter(me=settings.name, terms=limit_parameters(settings))
    front = Front(
        names=names,
        dispatcher=dispatcher,
        limiter=limiter,
        table=lambda: observation.beliefs.table,
        observe=report.observe,
    )
    return RequestPipeline(placement, pool, dispatcher, front, crash_checks, limiter)
