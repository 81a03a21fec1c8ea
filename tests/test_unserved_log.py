"""Requests that the forwarder did not serve appear in the node's log."""

import logging

import pytest

from plantainloft_core.outcomes import Refused
from plantainloft_node.app import log_unserved


def test_refusal_is_logged_with_its_reason(caplog: pytest.LogCaptureFixture) -> None:
    """A refused request must leave a log line with the reason for the refusal."""
    caplog.set_level(logging.INFO)
    refused = Refused(reason='no headroom', retry_after_s=1)
    log_unserved(refused, service='desk', version=4, key='k1')
    (line,) = caplog.records
    assert line.message == 'Forward: desk request refused: no headroom.'
    assert line.fields == {  # type: ignore[attr-defined]
        'service': 'desk',
        'version': 4,
        'key': 'k1',
        'reason': 'no headroom',
    }
