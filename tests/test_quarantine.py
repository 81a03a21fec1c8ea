"""Which requests are shut out: the counts of all instances, and who is cleared."""

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
    path: bytes = b'/files/1', *, address: str = '10.0.0.1', **more: bytes
) -> RequestFingerprint:
    terms = {'method': b'GET', 'host': b'desk.example', 'body': b'', **more}
    return fingerprint_of(target=path, address=address, **terms)  # type: ignore[arg-type]


def crashed(book: CrashBook, one: RequestFingerprint, *endpoints: str, now: float = NOW) -> None:
    for endpoint in endpoints:
        book.note_crash(one, endpoint, now)


def is_shut_out(book: CrashBook, one: RequestFingerprint, now: float = NOW) -> bool:
    return book.standing(one, now).is_quarantined


def quarantine(store: MemoryQuarantineStore, book: CrashBook | None = None) -> Quarantine:
    return Quarantine(
        book=CrashBook() if book is None else book,
        store=store,
        is_alone=lambda: False,
        spread=lambda: None,
    )


def test_a_request_is_shut_out_once_three_endpoints_ended_under_it() -> None:
    book = CrashBook()
    crashed(book, request(), 'i1', 'i2')
    assert not is_shut_out(book, request())
    crashed(book, request(), 'i3')
    assert is_shut_out(book, request())
    assert not is_shut_out(book, request(b'/files/2'))


def test_one_crash_seen_by_several_runs_counts_once() -> None:
    book = CrashBook()
    crashed(book, request(), 'i1', 'i1', 'i1', 'i2')
    assert book.standing(request(), NOW).crashes == 2


def test_crashes_that_different_instances_saw_add_up() -> None:
    books = [CrashBook() for _ in range(3)]
    for number, book in enumerate(books):
        crashed(book, request(), f'i{number}')
    assert books[0].merge(books[1].reports(NOW), NOW)
    assert books[0].merge(books[2].reports(NOW), NOW)
    assert not books[0].merge(books[2].reports(NOW), NOW)
    assert is_shut_out(books[0], request())


def test_a_request_that_is_answered_between_kills_is_never_shut_out() -> None:
    book = CrashBook()
    for number in range(30):
        crashed(book, request(), f'i{number}')
        book.note_answered(request(), NOW)
    assert not is_shut_out(book, request())


def test_a_popular_object_is_not_shut_out_for_what_one_caller_sends() -> None:
    book = CrashBook()
    fatal = request(address='10.0.0.9')
    crashed(book, fatal, 'i1', 'i2', 'i3')
    assert not is_shut_out(book, request())
    book.note_answered(request(), NOW)
    assert is_shut_out(book, fatal)


def test_a_request_that_is_fatal_for_every_caller_is_shut_out_for_all() -> None:
    book = CrashBook()
    for number in range(3):
        crashed(book, request(address=f'10.0.0.{number}'), f'i{number}')
    assert is_shut_out(book, request(address='10.0.0.99'))


def test_an_answer_clears_the_request_at_all_instances() -> None:
    book, other = CrashBook(), CrashBook()
    crashed(book, request(), 'i1', 'i2', 'i3')
    other.merge(book.reports(NOW), NOW)
    other.note_answered(request(), NOW)
    book.merge(other.reports(NOW), NOW)
    assert not is_shut_out(book, request())
    # Told once more by one that has not heard, it stays cleared.
    stale = CrashBook()
    crashed(stale, request(), 'i1', 'i2', 'i3')
    book.merge(stale.reports(NOW), NOW)
    assert not is_shut_out(book, request())
    stale.merge(book.reports(NOW), NOW)
    assert not is_shut_out(stale, request())


def test_a_request_that_was_answered_before_counts_half_and_is_bounded_all_the_same() -> None:
    """One that begins to crash endpoints may be sent three times more, as the users allow."""
    book, other = CrashBook(), CrashBook()
    other.note_answered(request(), NOW - 1)
    crashed(book, request(), 'i1', 'i2', 'i3')
    other.merge(book.reports(NOW), NOW)
    book.merge(other.reports(NOW), NOW)
    assert not is_shut_out(book, request())
    crashed(book, request(), 'i4', 'i5', 'i6')
    other.merge(book.reports(NOW), NOW)
    assert is_shut_out(other, request())


def test_instances_agree_in_whatever_order_they_hear() -> None:
    for seed in range(20):
        chance = random.Random(seed)
        books = [CrashBook() for _ in range(4)]
        requests = [request(b'/%d' % chance.randrange(3)) for _ in range(30)]
        for number, one in enumerate(requests):
            book = chance.choice(books)
            crashed(book, one, f'i{number % 7}')
            if chance.random() < 0.2:
                book.note_answered(one, NOW)
        for _ in range(12):
            sender, receiver = chance.sample(books, 2)
            receiver.merge(sender.reports(NOW), NOW)
        for sender in books:
            for receiver in books:
                for one in requests:
                    receiver.merge(sender.reports_of(one.content, NOW), NOW)
        for sender in books:
            for receiver in books:
                for one in requests:
                    receiver.merge(sender.reports_of(one.content, NOW), NOW)
        standings = [[book.standing(one, NOW).crashes for one in requests] for book in books]
        assert standings[1:] == standings[:-1]


def test_a_caller_that_varies_each_request_fills_no_memory_and_frees_no_one() -> None:
    book = CrashBook()
    crashed(book, request(b'/fatal'), 'i1', 'i2', 'i3')
    for number in range(MAX_REQUESTS + 100):
        crashed(book, request(b'/%d' % number), f'i{number}', now=NOW + 1)
    assert len(book) <= MAX_REQUESTS
    assert is_shut_out(book, request(b'/fatal'))
    for number in range(100):
        crashed(book, request(b'/fatal'), f'j{number}')
    assert len(book.reports_of(request(b'/fatal').content, NOW)) <= MAX_CRASHES_PER_REQUEST


def test_a_full_book_takes_on_a_request_after_others_have_expired() -> None:
    book = CrashBook()
    for number in range(MAX_REQUESTS):
        crashed(book, request(b'/%d' % number), 'i1', 'i2', 'i3')
    later = NOW + CRASH_RETENTION_S
    assert not is_shut_out(book, request(b'/0'), later)
    crashed(book, request(b'/new'), 'i1', now=later)
    assert book.standing(request(b'/new'), later).crashes == 1


@pytest.mark.parametrize(('requests', 'crashes'), [(20, 3), (16, MAX_CRASHES_PER_REQUEST)])
def test_a_report_is_bounded_and_tells_of_all_that_is_shut_out_in_turn(
    requests: int, crashes: int
) -> None:
    book = CrashBook()
    fatal = [request(b'/%d' % number) for number in range(requests)]
    for one in fatal:
        crashed(book, one, *(f'i{number}' for number in range(crashes)))
    later = NOW + RECENT_CHANGE_S + 1
    newcomer = CrashBook()
    for _ in range(8):
        reports = book.reports(later)
        assert len(pack_crashes(reports)) <= MAX_CRASHES_PER_REPORT * CRASH_BYTES
        newcomer.merge(reports, later)
    assert all(is_shut_out(newcomer, one, later) for one in fatal)


def test_what_nobody_asks_for_is_forgotten() -> None:
    book = CrashBook()
    crashed(book, request(), 'i1', 'i2', 'i3')
    book.forget_old(NOW + CRASH_RETENTION_S)
    assert not book
    assert not book.merge([one._replace(age_s=CRASH_RETENTION_S) for one in reports_of_one()], NOW)


def reports_of_one() -> list:  # type: ignore[type-arg]
    book = CrashBook()
    crashed(book, request(), 'i1')
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
def test_another_path_body_or_caller_makes_another_request(other: RequestFingerprint) -> None:
    assert other != request()


def test_a_caller_with_credentials_is_the_same_from_any_address() -> None:
    known = {'credentials': (b'', b'key')}
    assert request(**known) == request(address='10.9.9.9', **known)  # type: ignore[arg-type]
    assert request(host=b'DESK.example') == request()


@given(st.binary(max_size=200))
def test_bytes_that_are_no_crashes_are_left_out(packed: bytes) -> None:
    try:
        crashes = unpack_crashes(packed)
    except Exception as exc:
        assert isinstance(exc, ValueError) or type(exc).__name__ == 'error'
        return
    assert CrashBook().merge(crashes, NOW) in {True, False}
    assert isinstance(StoredRecord('k', 1, packed).unpack(), Invalid)


@pytest.mark.anyio
async def test_a_trial_is_made_by_one_instance_only(monkeypatch: pytest.MonkeyPatch) -> None:
    now = [NOW]
    monkeypatch.setattr('anyio.current_time', lambda: now[0])
    monkeypatch.setattr('time.time', lambda: now[0])
    store = MemoryQuarantineStore()
    instances = [quarantine(store) for _ in range(12)]
    for number in range(3):
        run = EndpointRun(request(), 'r', f'i{number}', '127.0.0.1:1')
        for one in instances:
            one.book.note_crash(run.request, run.incarnation, NOW)
    content = request().content
    await store.write(content.hex(), instances[0].build_record(content).pack())
    assert all([isinstance(await one.admit(request()), ShutOut) for one in instances])
    now[0] += HOLD_S
    outcomes = [await one.admit(request()) for one in instances]
    assert sum(isinstance(one, Trial) for one in outcomes) == 1
    assert sum(isinstance(one, ShutOut) for one in outcomes) == 11
    tried = instances[[isinstance(one, Trial) for one in outcomes].index(True)]
    tried.note_answered(request(), now[0])
    assert isinstance(await tried.admit(request()), Admitted)


@pytest.mark.anyio
async def test_no_trial_is_made_while_the_store_is_away(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr('anyio.current_time', lambda: NOW + HOLD_S)
    store = MemoryQuarantineStore()
    store.is_away = True
    alone = quarantine(store)
    crashed(alone.book, request(), 'i1', 'i2', 'i3')
    assert isinstance(await alone.admit(request()), ShutOut)
