"""Which requests are quarantined, based on the crashes and answers seen by all instances."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from plantainloft_core.outcomes import Invalid
from plantainloft_node.quarantine.crash_codec import CRASH_BYTES, pack_crashes, unpack_crashes
from plantainloft_node.quarantine.crash_detector import EndpointAttempt
from plantainloft_node.quarantine.crash_records import CRASH_RETENTION_S, INITIAL_TRIAL_DELAY_S
from plantainloft_node.quarantine.crash_registry import (
    MAX_CRASHES_PER_REPORT,
    MAX_CRASHES_PER_REQUEST,
    MAX_TRACKED_REQUESTS,
    RECENT_CHANGE_S,
    CrashRegistry,
)
from plantainloft_node.quarantine.fingerprints import RequestFingerprint, compute_fingerprint
from plantainloft_node.quarantine.quarantine import Admitted, Blocked, Quarantine, Trial
from plantainloft_node.quarantine.store_records import StoredRecord
from plantainloft_standins.quarantine_store import MemoryQuarantineStore

NOW = 1000.0


def request(
    path: bytes = b'/files/1', *, address: str = '10.0.0.1', **overrides: bytes
) -> RequestFingerprint:
    fields = {'method': b'GET', 'host': b'desk.example', 'body': b'', **overrides}
    return compute_fingerprint(target=path, address=address, **fields)  # type: ignore[arg-type]


def record_crashes(
    crash_registry: CrashRegistry,
    fingerprint: RequestFingerprint,
    *endpoints: str,
    now: float = NOW,
) -> None:
    for endpoint in endpoints:
        crash_registry.record_crash(fingerprint, endpoint, now)


def is_quarantined(
    crash_registry: CrashRegistry, fingerprint: RequestFingerprint, now: float = NOW
) -> bool:
    return crash_registry.summary_for(fingerprint, now).is_quarantined


def build_quarantine(
    store: MemoryQuarantineStore, crash_registry: CrashRegistry | None = None
) -> Quarantine:
    return Quarantine(
        crash_registry=CrashRegistry() if crash_registry is None else crash_registry,
        store=store,
        has_no_live_peers=lambda: False,
        broadcast=lambda: None,
    )


def test_request_is_quarantined_after_three_endpoint_crashes() -> None:
    crash_registry = CrashRegistry()
    record_crashes(crash_registry, request(), 'i1', 'i2')
    assert not is_quarantined(crash_registry, request())
    record_crashes(crash_registry, request(), 'i3')
    assert is_quarantined(crash_registry, request())
    assert not is_quarantined(crash_registry, request(b'/files/2'))


def test_several_runs_on_one_crashed_endpoint_count_once() -> None:
    crash_registry = CrashRegistry()
    record_crashes(crash_registry, request(), 'i1', 'i1', 'i1', 'i2')
    assert crash_registry.summary_for(request(), NOW).crash_count == 2


def test_crashes_seen_by_different_instances_add_up() -> None:
    crash_registries = [CrashRegistry() for _ in range(3)]
    for number, crash_registry in enumerate(crash_registries):
        record_crashes(crash_registry, request(), f'i{number}')
    assert crash_registries[0].merge(crash_registries[1].next_reports(NOW), NOW)
    assert crash_registries[0].merge(crash_registries[2].next_reports(NOW), NOW)
    assert not crash_registries[0].merge(crash_registries[2].next_reports(NOW), NOW)
    assert is_quarantined(crash_registries[0], request())


def test_request_answered_between_crashes_is_never_quarantined() -> None:
    crash_registry = CrashRegistry()
    for number in range(30):
        record_crashes(crash_registry, request(), f'i{number}')
        crash_registry.record_answer(request(), NOW)
    assert not is_quarantined(crash_registry, request())


def test_crashes_of_one_caller_do_not_quarantine_other_callers() -> None:
    crash_registry = CrashRegistry()
    fatal = request(address='10.0.0.9')
    record_crashes(crash_registry, fatal, 'i1', 'i2', 'i3')
    assert not is_quarantined(crash_registry, request())
    crash_registry.record_answer(request(), NOW)
    assert is_quarantined(crash_registry, fatal)


def test_request_that_is_fatal_for_several_callers_is_quarantined_for_all() -> None:
    crash_registry = CrashRegistry()
    for number in range(3):
        record_crashes(crash_registry, request(address=f'10.0.0.{number}'), f'i{number}')
    assert is_quarantined(crash_registry, request(address='10.0.0.99'))


def test_answer_releases_the_request_at_all_instances() -> None:
    crash_registry, other = CrashRegistry(), CrashRegistry()
    record_crashes(crash_registry, request(), 'i1', 'i2', 'i3')
    other.merge(crash_registry.next_reports(NOW), NOW)
    other.record_answer(request(), NOW)
    crash_registry.merge(other.next_reports(NOW), NOW)
    assert not is_quarantined(crash_registry, request())
    # A report by an instance that missed the answer does not undo the release.
    outdated = CrashRegistry()
    record_crashes(outdated, request(), 'i1', 'i2', 'i3')
    crash_registry.merge(outdated.next_reports(NOW), NOW)
    assert not is_quarantined(crash_registry, request())
    outdated.merge(crash_registry.next_reports(NOW), NOW)
    assert not is_quarantined(outdated, request())


def test_crashes_of_a_recently_answered_request_count_half() -> None:
    """A request that becomes fatal may crash three more endpoints, which the users allow."""
    crash_registry, other = CrashRegistry(), CrashRegistry()
    other.record_answer(request(), NOW - 1)
    record_crashes(crash_registry, request(), 'i1', 'i2', 'i3')
    other.merge(crash_registry.next_reports(NOW), NOW)
    crash_registry.merge(other.next_reports(NOW), NOW)
    assert not is_quarantined(crash_registry, request())
    record_crashes(crash_registry, request(), 'i4', 'i5', 'i6')
    other.merge(crash_registry.next_reports(NOW), NOW)
    assert is_quarantined(other, request())


def test_instances_converge_whatever_the_order_of_reports() -> None:
    for seed in range(20):
        rng = random.Random(seed)
        crash_registries = [CrashRegistry() for _ in range(4)]
        requests = [request(b'/%d' % rng.randrange(3)) for _ in range(30)]
        for number, fingerprint in enumerate(requests):
            crash_registry = rng.choice(crash_registries)
            record_crashes(crash_registry, fingerprint, f'i{number % 7}')
            if rng.random() < 0.2:
                crash_registry.record_answer(fingerprint, NOW)
        for _ in range(12):
            sender, receiver = rng.sample(crash_registries, 2)
            receiver.merge(sender.next_reports(NOW), NOW)
        for sender in crash_registries:
            for receiver in crash_registries:
                for fingerprint in requests:
                    receiver.merge(sender.reports_for_content(fingerprint.content_digest, NOW), NOW)
        for sender in crash_registries:
            for receiver in crash_registries:
                for fingerprint in requests:
                    receiver.merge(sender.reports_for_content(fingerprint.content_digest, NOW), NOW)
        crash_counts = [
            [crash_registry.summary_for(fingerprint, NOW).crash_count for fingerprint in requests]
            for crash_registry in crash_registries
        ]
        assert crash_counts[1:] == crash_counts[:-1]


def test_many_distinct_requests_stay_within_limits_and_evict_no_quarantined_one() -> None:
    crash_registry = CrashRegistry()
    record_crashes(crash_registry, request(b'/fatal'), 'i1', 'i2', 'i3')
    for number in range(MAX_TRACKED_REQUESTS + 100):
        record_crashes(crash_registry, request(b'/%d' % number), f'i{number}', now=NOW + 1)
    assert len(crash_registry) <= MAX_TRACKED_REQUESTS
    assert is_quarantined(crash_registry, request(b'/fatal'))
    for number in range(100):
        record_crashes(crash_registry, request(b'/fatal'), f'j{number}')
    assert (
        len(crash_registry.reports_for_content(request(b'/fatal').content_digest, NOW))
        <= MAX_CRASHES_PER_REQUEST
    )


def test_eviction_when_the_crashes_of_a_request_have_expired() -> None:
    """Eviction handles a request whose crashes have expired but whose entry still exists."""
    crash_registry = CrashRegistry()
    for number in range(MAX_TRACKED_REQUESTS):
        record_crashes(crash_registry, request(b'/%d' % number), 'i1', 'i2', 'i3')
    later = NOW + CRASH_RETENTION_S
    assert not is_quarantined(crash_registry, request(b'/0'), later)
    record_crashes(crash_registry, request(b'/new'), 'i1', now=later)
    assert crash_registry.summary_for(request(b'/new'), later).crash_count == 1


@pytest.mark.parametrize(('requests', 'crashes'), [(20, 3), (16, MAX_CRASHES_PER_REQUEST)])
def test_bounded_reports_cover_all_quarantined_requests_in_rotation(
    requests: int, crashes: int
) -> None:
    crash_registry = CrashRegistry()
    fatal_requests = [request(b'/%d' % number) for number in range(requests)]
    for fingerprint in fatal_requests:
        record_crashes(crash_registry, fingerprint, *(f'i{number}' for number in range(crashes)))
    later = NOW + RECENT_CHANGE_S + 1
    newcomer = CrashRegistry()
    for _ in range(8):
        reports = crash_registry.next_reports(later)
        assert len(pack_crashes(reports)) <= MAX_CRASHES_PER_REPORT * CRASH_BYTES
        newcomer.merge(reports, later)
    assert all(is_quarantined(newcomer, fingerprint, later) for fingerprint in fatal_requests)


def test_expired_crashes_are_deleted_and_not_merged() -> None:
    crash_registry = CrashRegistry()
    record_crashes(crash_registry, request(), 'i1', 'i2', 'i3')
    crash_registry.delete_expired(NOW + CRASH_RETENTION_S)
    assert not crash_registry
    assert not crash_registry.merge(
        [report._replace(age_s=CRASH_RETENTION_S) for report in single_report()], NOW
    )


def single_report() -> list:  # type: ignore[type-arg]
    crash_registry = CrashRegistry()
    record_crashes(crash_registry, request(), 'i1')
    return crash_registry.next_reports(NOW)


@pytest.mark.parametrize(
    'other',
    [
        request(b'/files/1?x=1'),
        request(method=b'POST'),
        request(host=b'other.example'),
        request(body=b'x'),
        request(address='10.0.0.2'),
        request(credentials=(b'k',)),  # type: ignore[arg-type]
    ],
)
def test_another_path_body_or_caller_gives_another_fingerprint(other: RequestFingerprint) -> None:
    assert other != request()


def test_caller_with_credentials_is_the_same_from_any_address() -> None:
    caller = {'credentials': (b'', b'key')}
    assert request(**caller) == request(address='10.9.9.9', **caller)  # type: ignore[arg-type]
    assert request(host=b'DESK.example') == request()


@given(st.binary(max_size=200))
def test_malformed_bytes_are_rejected(packed: bytes) -> None:
    try:
        crashes = unpack_crashes(packed)
    except Exception as exc:
        assert isinstance(exc, ValueError) or type(exc).__name__ == 'error'
        return
    assert CrashRegistry().merge(crashes, NOW) in {True, False}
    assert isinstance(StoredRecord('k', 1, packed).unpack(), Invalid)


@pytest.mark.anyio
async def test_only_one_instance_makes_a_trial(monkeypatch: pytest.MonkeyPatch) -> None:
    now = [NOW]
    monkeypatch.setattr('anyio.current_time', lambda: now[0])
    monkeypatch.setattr('time.time', lambda: now[0])
    store = MemoryQuarantineStore()
    instances = [build_quarantine(store) for _ in range(12)]
    for number in range(3):
        attempt = EndpointAttempt(request(), 'r', f'i{number}', '127.0.0.1:1')
        for instance in instances:
            instance.crash_registry.record_crash(attempt.fingerprint, attempt.incarnation, NOW)
    content_digest = request().content_digest
    await store.write(content_digest.hex(), instances[0].build_record(content_digest).pack())
    assert all([isinstance(await instance.admit(request()), Blocked) for instance in instances])
    now[0] += INITIAL_TRIAL_DELAY_S
    outcomes = [await instance.admit(request()) for instance in instances]
    assert sum(isinstance(outcome, Trial) for outcome in outcomes) == 1
    assert sum(isinstance(outcome, Blocked) for outcome in outcomes) == 11
    trial_instance = instances[[isinstance(outcome, Trial) for outcome in outcomes].index(True)]
    trial_instance.record_answer(request(), now[0])
    assert isinstance(await trial_instance.admit(request()), Admitted)


@pytest.mark.anyio
async def test_no_trial_while_the_store_is_unreachable(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr('anyio.current_time', lambda: NOW + INITIAL_TRIAL_DELAY_S)
    store = MemoryQuarantineStore()
    store.is_unreachable = True
    instance = build_quarantine(store)
    record_crashes(instance.crash_registry, request(), 'i1', 'i2', 'i3')
    assert isinstance(await instance.admit(request()), Blocked)
