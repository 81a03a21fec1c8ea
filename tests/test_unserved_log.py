"""What the product's own forwarding did not serve is in the node's log."""

import logging

import pytest

from plantainloft_core.outcomes import Refused
from plantainloft_node.app import log_unserved


def test_a_refusal_is_logged_with_what_decided_it(caplog: pytest.LogCaptureFixture) -> None:
    """Symptom: a caller was refused, and the node's log is empty."""
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
