"""When the signals of a process count as received."""

import signal
import time
from collections.abc import Iterator

import anyio
import pytest

from plantainloft_node.entry.process_signals import receive_signals

pytestmark = pytest.mark.anyio


@pytest.fixture(autouse=True)
def signal_handlers() -> Iterator[None]:
    """Restore the handlers, which are left at "ignored"."""
    before = {number: signal.getsignal(number) for number in (signal.SIGTERM, signal.SIGHUP)}
    yield
    for number, handler in before.items():
        signal.signal(number, handler)


async def test_a_grace_period_begins_when_the_signal_arrives_at_a_busy_process() -> None:
    """Guards against processes that are killed with open requests, as they count from later."""
    with receive_signals() as signals:
        signal.raise_signal(signal.SIGTERM)
        sent_at = time.monotonic()
        time.sleep(0.2)
        signal.raise_signal(signal.SIGTERM)
        with anyio.fail_after(5):
            assert await signals.wait_for_stop(on_reload=lambda: None) <= sent_at
