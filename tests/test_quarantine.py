"""Which requests are quarantined, based on the crashes and answers seen by all instances."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from plantainloft_core.outcomes import Invalid
from plantainloft_node.quarantine.crash_book import (
    MAX_CRASHES_PER_REPORT,
    MAX_CRASHES_PER_REQUEST,
    MAX_REQUESTS,
    RECENT_CHANGE_S,
    CrashBook,
)
from plantainloft_node.quarantine.crash_checks import EndpointRun
from plantainloft_node.quarantine.crash_codec import CRASH_BYTES, pack_crashes, unpack_crashes
from plantainloft_node.quarantine.crashes import CRASH_RETENTION_S, HOLD_S
from plantainloft_node.quarantine.fingerprints import RequestFingerprint, fingerprint_of
from plantainloft_node.quarantine.quarantine import Admitted, Quarantine, ShutOut, Trial
from plantainloft_node.quarantine.records import StoredRecord
from plantainloft_standins.quarantine_store import MemoryQuarantineStore

NOW = 1000.0


def request(
    path: bytes = b'/files/1', *, address: str = '10.0.0.1', **overrides: bytes
) -> RequestFingerprint:
    fields = {'method': b'GET', 'host': b'desk.example', 'body': b'', **overrides}
    return fingerprint_of(target=path, address=address, **fields)  # type: ignore[arg-type]


def record_crashes(
    book: CrashBook, fingerprint: RequestFingerprint, *endpoints: str, now: float = NOW
) -> None:
    for endpoint in endpoints:
        book.note_crash(fingerprint, endpoint, now)


def is_quarantined(book: CrashBook, fingerprint: RequestFingerprint, now: float = NOW) -> bool:
    return book.standing(fingerprint, now).is_quarantined


def build_quarantine(store: MemoryQuarantineStore, book: CrashBook | None = None) -> Quarantine:
    return Quarantine(
        book=CrashBook() if book is None else book,
        store=store,
        is_alone=lambda: False,
        spread=lambda: None,
    )


def test_request_is_quarantined_after_three_endpoint_crashes() -> None:
    book = CrashBook()
    record_crashes(book, request(), 'i1', 'i2')
    assert not is_quarantined(book, request())
    record_crashes(book, request(), 'i3')
    assert is_quarantined(book, request())
    assert not is_quarantined(book, request(b'/files/2'))


def test_several_runs_on_one_crashed_endpoint_count_once() -> None:
    book = CrashBook()
    record_crashes(book, request(), 'i1', 'i1', 'i1', 'i2')
    assert book.standing(request(), NOW).crashes == 2


def test_crashes_seen_by_different_instances_add_up() -> None:
    books = [CrashBook() for _ in range(3)]
    for number, book in enumerate(books):
        record_crashes(book, request(), f'i{number}')
    assert books[0].merge(books[1].reports(NOW), NOW)
    assert books[0].merge(books[2].reports(NOW), NOW)
    assert not books[0].merge(books[2].reports(NOW), NOW)
    assert is_quarantined(books[0], request())


def test_request_answered_between_crashes_is_never_quarantined() -> None:
    book = CrashBook()
    for number in range(30):
        record_crashes(book, request(), f'i{number}')
        book.note_answered(request(), NOW)
    assert not is_quarantined(book, request())


def test_crashes_of_one_caller_do_not_quarantine_other_callers() -> None:
    book = CrashBook()
    fatal = request(address='10.0.0.9')
    record_crashes(book, fatal, 'i1', 'i2', 'i3')
    assert not is_quarantined(book, request())
    book.note_answered(request(), NOW)
    assert is_quarantined(book, fatal)


def test_request_that_is_fatal_for_several_callers_is_quarantined_for_all() -> None:
    book = CrashBook()
    for number in range(3):
        record_crashes(book, request(address=f'10.0.0.{number}'), f'i{number}')
    assert is_quarantined(book, request(address='10.0.0.99'))


def test_answer_releases_the_request_at_all_instances() -> None:
    book, other = CrashBook(), CrashBook()
    record_crashes(book, request(), 'i1', 'i2', 'i3')
    other.merge(book.reports(NOW), NOW)
    other.note_answered(request(), NOW)
    book.merge(other.reports(NOW), NOW)
    assert not is_quarantined(book, request())
    # A report by an instance that missed the answer does not undo the release.
    outdated = CrashBook()
    record_crashes(outdated, request(), 'i1', 'i2', 'i3')
    book.merge(outdated.reports(NOW), NOW)
    assert not is_quarantined(book, request())
    outdated.merge(book.reports(NOW), NOW)
    assert not is_quarantined(outdated, request())


def test_crashes_of_a_recently_answered_request_count_half() -> None:
    """A request that becomes fatal may crash three more endpoints, which the users allow."""
    book, other = CrashBook(), CrashBook()
    other.note_answered(request(), NOW - 1)
    record_crashes(book, request(), 'i1', 'i2', 'i3')
    other.merge(book.reports(NOW), NOW)
    book.merge(other.reports(NOW), NOW)
    assert not is_quarantined(book, request())
    record_crashes(book, request(), 'i4', 'i5', 'i6')
    other.merge(book.reports(NOW), NOW)
    assert is_quarantined(other, request())


def test_instances_converge_whatever_the_order_of_reports() -> None:
    for seed in range(20):
        rng = random.Random(seed)
        books = [CrashBook() for _ in range(4)]
        requests = [request(b'/%d' % rng.randrange(3)) for _ in range(30)]
        for number, fingerprint in enumerate(requests):
            book = rng.choice(books)
            record_crashes(book, fingerprint, f'i{number % 7}')
            if rng.random() < 0.2:
                book.note_answered(fingerprint, NOW)
        for _ in range(12):
            sender, receiver = rng.sample(books, 2)
            receiver.merge(sender.reports(NOW), NOW)
        for sender in books:
            for receiver in books:
                for fingerprint in requests:
                    receiver.merge(sender.reports_of(fingerprint.content, NOW), NOW)
        for sender in books:
            for receiver in books:
                for fingerprint in requests:
                    receiver.merge(sender.reports_of(fingerprint.content, NOW), NOW)
        crash_counts = [
            [book.standing(fingerprint, NOW).crashes for fingerprint in requests] for book in books
        ]
        assert crash_counts[1:] == crash_counts[:-1]


def test_many_distinct_requests_stay_within_limits_and_evict_no_quarantined_one() -> None:
    book = CrashBook()
    record_crashes(book, request(b'/fatal'), 'i1', 'i2', 'i3')
    for number in range(MAX_REQUESTS + 100):
        record_crashes(book, request(b'/%d' % number), f'i{number}', now=NOW + 1)
    assert len(book) <= MAX_REQUESTS
    assert is_quarantined(book, request(b'/fatal'))
    for number in range(100):
        record_crashes(book, request(b'/fatal'), f'j{number}')
    assert len(book.reports_of(request(b'/fatal').content, NOW)) <= MAX_CRASHES_PER_REQUEST


def test_eviction_when_the_crashes_of_a_request_have_expired() -> None:
    """Eviction handles a request whose crashes have expired but whose entry still exists."""
    book = CrashBook()
    for number in range(MAX_REQUESTS):
        record_crashes(book, request(b'/%d' % number), 'i1', 'i2', 'i3')
    later = NOW + CRASH_RETENTION_S
    assert not is_quarantined(book, request(b'/0'), later)
    record_crashes(book, request(b'/new'), 'i1', now=later)
    assert book.standing(request(b'/new'), later).crashes == 1


@pytest.mark.parametrize(('requests', 'crashes'), [(20, 3), (16, MAX_CRASHES_PER_REQUEST)])
def test_bounded_reports_cover_all_quarantined_requests_in_rotation(
    requests: int, crashes: int
) -> None:
    book = CrashBook()
    fatal_requests = [request(b'/%d' % number) for number in range(requests)]
    for fingerprint in fatal_requests:
        record_crashes(book, fingerprint, *(f'i{number}' for number in range(crashes)))
    later = NOW + RECENT_CHANGE_S + 1
    newcomer = CrashBook()
    for _ in range(8):
        reports = book.reports(later)
        assert len(pack_crashes(reports)) <= MAX_CRASHES_PER_REPORT * CRASH_BYTES
        newcomer.merge(reports, later)
    assert all(is_quarantined(newcomer, fingerprint, later) for fingerprint in fatal_requests)


def test_expired_crashes_are_deleted_and_not_merged() -> None:
    book = CrashBook()
    record_crashes(book, request(), 'i1', 'i2', 'i3')
    book.forget_old(NOW + CRASH_RETENTION_S)
    assert not book
    assert not book.merge(
        [report._replace(age_s=CRASH_RETENTION_S) for report in single_report()], NOW
    )


def single_report() -> list:  # type: ignore[type-arg]
    book = CrashBook()
    record_crashes(book, request(), 'i1')
    return book.reports(NOW)


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
    known = {'credentials': (b'', b'key')}
    assert request(**known) == request(address='10.9.9.9', **known)  # type: ignore[arg-type]
    assert request(host=b'DESK.example') == request()


@given(st.binary(max_size=200))
def test_malformed_bytes_are_rejected(packed: bytes) -> None:
    try:
        crashes = unpack_crashes(packed)
    except Exception as exc:
        assert isinstance(exc, ValueError) or type(exc).__name__ == 'error'
        return
    assert CrashBook().merge(crashes, NOW) in {True, False}
    assert isinstance(StoredRecord('k', 1, packed).unpack(), Invalid)


@pytest.mark.anyio
async def test_only_one_instance_makes_a_trial(monkeypatch: pytest.MonkeyPatch) -> None:
    now = [NOW]
    monkeypatch.setattr('anyio.current_time', lambda: now[0])
    monkeypatch.setattr('time.time', lambda: now[0])
    store = MemoryQuarantineStore()
    instances = [build_quarantine(store) for _ in range(12)]
    for number in range(3):
        run = EndpointRun(request(), 'r', f'i{number}', '127.0.0.1:1')
        for instance in instances:
            instance.book.note_crash(run.request, run.incarnation, NOW)
    content = request().content
    await store.write(content.hex(), instances[0].build_record(content).pack())
    assert all([isinstance(await instance.admit(request()), ShutOut) for instance in instances])
    now[0] += HOLD_S
    outcomes = [await instance.admit(request()) for instance in instances]
    assert sum(isinstance(outcome, Trial) for outcome in outcomes) == 1
    assert sum(isinstance(outcome, ShutOut) for outcome in outcomes) == 11
    trial_instance = instances[[isinstance(outcome, Trial) for outcome in outcomes].index(True)]
    trial_instance.note_answered(request(), now[0])
    assert isinstance(await trial_instance.admit(request()), Admitted)


@pytest.mark.anyio
async def test_no_trial_while_the_store_is_unreachable(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr('anyio.current_time', lambda: NOW + HOLD_S)
    store = MemoryQuarantineStore()
    store.is_away = True
    instance = build_quarantine(store)
    record_crashes(instance.book, request(), 'i1', 'i2', 'i3')
    assert isinstance(await instance.admit(request()), ShutOut)
