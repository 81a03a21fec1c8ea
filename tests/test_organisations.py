"""API keys and allowed regions of organisations, tested over raw HTTP connections."""

import base64
import json
import logging

import anyio
import pytest
from entry_fixtures import (
    ScriptedConnection,
    get_request,
    make_route,
    make_route_table,
    post_request,
    running_forwarding_server,
    signed_ok_response,
)

from plantainloft_core.organisations import (
    Organisation,
    OrganisationIndex,
    build_organisation_index,
    digest_key,
)
from plantainloft_core.outcomes import Invalid
from plantainloft_core.routes import NO_REGIONS, RouteTable
from plantainloft_core.store_position import StorePosition
from plantainloft_node.replica.store_rows import DECLARATIONS, RoutesDeclared, StoreRow
from plantainloft_platform.organisations import replace_keys_with_digests
from plantainloft_platform.row_decoding import decode_row

KEY = b'k-ankara-bar'
KEY_HEADER = b'Api-Key: k-ankara-bar\r\n'
FILES = make_route(idempotent=True, prefix='/files/')
NOTICES = make_route(idempotent=False, prefix='/notices/')
PUBLIC = make_route(idempotent=True, prefix='/help/', public=True)


def organisation_with_keys(
    *keys: bytes, name: str = 'ankara-bar', **settings: object
) -> OrganisationIndex:
    digests = frozenset(digest_key(key) for key in keys)
    return build_organisation_index([Organisation(name, digests, **settings)])  # type: ignore[arg-type]


def table_with_organisations(organisations: OrganisationIndex, *, version: int = 1) -> RouteTable:
    return make_route_table(FILES, NOTICES, PUBLIC, version=version, organisations=organisations)


async def answer_every_request(connection: ScriptedConnection) -> None:
    while True:
        await connection.read_request()
        await connection.send(signed_ok_response(b'ok'))


@pytest.mark.anyio
@pytest.mark.parametrize(
    'extra_headers',
    [b'', b'Api-Key: k-other\r\n', b'Api-Key:\r\n', KEY_HEADER + KEY_HEADER],
    ids=['missing', 'unknown', 'empty', 'two'],
)
async def test_request_without_exactly_one_known_key_is_rejected(extra_headers: bytes) -> None:
    async with running_forwarding_server(
        answer_every_request, table=table_with_organisations(organisation_with_keys(KEY))
    ) as (server, endpoints):
        answer = await server.send_request(get_request(extra_headers=extra_headers))
        assert answer.startswith(b'HTTP/1.1 401 ')
        assert endpoints[0].requests == []


@pytest.mark.anyio
async def test_endpoint_receives_the_organisation_but_not_the_key() -> None:
    forged = KEY_HEADER + b'X-Organisation: somebody-else\r\n'
    async with running_forwarding_server(
        answer_every_request, table=table_with_organisations(organisation_with_keys(KEY))
    ) as (server, endpoints):
        assert (await server.send_request(get_request(extra_headers=forged))).startswith(
            b'HTTP/1.1 200 '
        )
        sent = endpoints[0].requests[0].lower()
        assert sent.count(b'x-organisation:') == 1
        assert b'x-organisation: ankara-bar\r\n' in sent
        assert KEY not in sent


@pytest.mark.anyio
async def test_public_route_requires_no_key_and_forwards_none() -> None:
    forged = KEY_HEADER + b'X-Organisation: somebody-else\r\n'
    async with running_forwarding_server(
        answer_every_request, table=table_with_organisations(organisation_with_keys(KEY))
    ) as (server, endpoints):
        answer = await server.send_request(get_request(b'/help/1', extra_headers=forged))
        assert answer.startswith(b'HTTP/1.1 200 ')
        sent = endpoints[0].requests[0].lower()
        assert b'x-organisation' not in sent
        assert KEY not in sent


@pytest.mark.anyio
async def test_removed_key_is_rejected_on_an_open_connection() -> None:
    tables = [table_with_organisations(organisation_with_keys(KEY))]
    async with running_forwarding_server(answer_every_request, tables=tables) as (
        server,
        endpoints,
    ):
        async with await server.connect() as stream:
            await stream.send(get_request(extra_headers=KEY_HEADER))
            assert (await stream.receive()).startswith(b'HTTP/1.1 200 ')
            tables.append(table_with_organisations(organisation_with_keys(b'k-new'), version=2))
            await stream.send(get_request(extra_headers=KEY_HEADER))
            assert (await stream.receive()).startswith(b'HTTP/1.1 401 ')
        assert len(endpoints[0].requests) == 1


@pytest.mark.anyio
async def test_removed_key_is_rejected_for_a_queued_pipelined_request() -> None:
    tables = [table_with_organisations(organisation_with_keys(KEY))]
    release = anyio.Event()

    async def answer_after_release(connection: ScriptedConnection) -> None:
        while True:
            await connection.read_request()
            await release.wait()
            await connection.send(signed_ok_response(b'ok'))

    async with running_forwarding_server(answer_after_release, tables=tables) as (
        server,
        endpoints,
    ):
        async with await server.connect() as stream:
            post_with_key = post_request(b'x').replace(
                b'\r\n\r\n', b'\r\n' + KEY_HEADER + b'\r\n', 1
            )
            await stream.send(get_request(extra_headers=KEY_HEADER) + post_with_key)
            while not endpoints[0].requests:
                await anyio.sleep(0.01)
            tables.append(table_with_organisations(organisation_with_keys(b'k-new'), version=2))
            release.set()
            received = b''
            while received.count(b'HTTP/1.1') < 2:
                received += await stream.receive()
        assert b'HTTP/1.1 401 ' in received
        assert len(endpoints[0].requests) == 1


@pytest.mark.anyio
async def test_keys_are_not_logged(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.DEBUG)
    async with running_forwarding_server(
        answer_every_request, table=table_with_organisations(organisation_with_keys(KEY))
    ) as (server, _):
        await server.send_request(get_request(extra_headers=KEY_HEADER))
        await server.send_request(get_request(extra_headers=b'Api-Key: k-other\r\n'))
    log_records = [str(record.__dict__) for record in caplog.records]
    assert any('unauthorised' in line for line in log_records)
    assert not [line for line in log_records if 'k-other' in line or 'k-ankara-bar' in line]


def test_regions_of_route_and_organisation_are_intersected() -> None:
    organisation = Organisation('ankara-bar', frozenset(), regions=frozenset(('ankara', 'izmir')))
    assert FILES.with_organisation_settings(organisation).regions == {'ankara', 'izmir'}
    overlapping = FILES._replace(regions=frozenset(('izmir', 'istanbul')))
    assert overlapping.with_organisation_settings(organisation).regions == {'izmir'}
    disjoint = FILES._replace(regions=frozenset(('istanbul',)))
    assert disjoint.with_organisation_settings(organisation).regions == NO_REGIONS


def test_priority_of_an_organisation_overrides_that_of_the_route() -> None:
    assert (
        FILES.with_organisation_settings(Organisation('a', frozenset(), priority=0)).priority == 0
    )
    assert (
        FILES.with_organisation_settings(Organisation('a', frozenset())).priority == FILES.priority
    )


@pytest.mark.anyio
@pytest.mark.parametrize(('region', 'status'), [('ankara', b'200'), ('izmir', b'503')])
async def test_organisation_is_served_in_its_regions_only(region: str, status: bytes) -> None:
    organisations = organisation_with_keys(KEY, regions=frozenset((region,)))
    async with running_forwarding_server(
        answer_every_request, table=table_with_organisations(organisations)
    ) as (
        server,
        endpoints,
    ):
        answer = await server.send_request(get_request(extra_headers=KEY_HEADER))
        assert answer.startswith(b'HTTP/1.1 ' + status)
        assert len(endpoints[0].requests) == (status == b'200')


def document(*tenants: dict[str, object]) -> bytes:
    entries = [
        {'resource_type': 'tenants', 'metadata': {'name': f't{number}'}, 'spec': spec}
        for number, spec in enumerate(tenants)
    ]
    return json.dumps({'version': 7, 'resources': entries}).encode()


def config_row(content: bytes) -> StoreRow:
    return StoreRow(table=DECLARATIONS, key='config', position=StorePosition(1, 1), content=content)


def test_stored_row_contains_only_key_digests() -> None:
    stored = replace_keys_with_digests(
        document({'api_keys': ['k-secret'], 'rate_per_s': 5, 'burst': 2})
    )
    assert b'k-secret' not in stored
    declared = decode_row(config_row(stored))
    assert isinstance(declared, RoutesDeclared)
    organisation = declared.table.organisations.find_by_key(b'k-secret')
    assert organisation is not None
    assert organisation.name == 't0'
    assert organisation.limit == (5.0, 2.0)


def test_organisation_without_keys_is_parsed() -> None:
    declared = decode_row(config_row(replace_keys_with_digests(document({'rate_per_s': 5}))))
    assert isinstance(declared, RoutesDeclared)
    assert declared.table.requires_keys
    assert declared.table.organisations.by_key_digest == {}


def test_invalid_document_is_not_stored_with_its_keys() -> None:
    assert replace_keys_with_digests(b'{"resources": "k-secret"}') == b''
    assert replace_keys_with_digests(base64.b64encode(b'k-secret')) == b''


def test_key_of_two_organisations_is_reported_by_digest() -> None:
    stored = replace_keys_with_digests(
        document({'api_keys': ['k-secret']}, {'api_keys': ['k-secret']})
    )
    decoded = decode_row(config_row(stored))
    assert isinstance(decoded, Invalid)
    assert digest_key(b'k-secret') in decoded.problems[0]
