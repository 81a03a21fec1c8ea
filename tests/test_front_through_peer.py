"""All tests of forwarding, with the endpoints reached through a peer."""

import pytest
from test_front import *  # noqa: F403
from tunnel_fixtures import endpoints_behind_a_peer

__all__ = ['endpoints_behind_a_peer']

pytestmark = [pytest.mark.anyio, pytest.mark.usefixtures('endpoints_behind_a_peer')]
