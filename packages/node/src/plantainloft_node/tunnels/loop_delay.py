"""How late the event loop of this process runs."""

import time

import anyio

__all__ = ['LoopDelay']

CHECK_INTERVAL_S = 0.1
NEWEST_WEIGHT = 0.3


class LoopDelay:
    """A moving average of the delay of sleeps, in seconds."""

    def __init__(self) -> None:
        self.mean_s = 0.0

    async def measure(self) -> None:
        """Sleep for a tenth of a second and add its delay to the average."""
        due_at = time.monotonic() + CHECK_INTERVAL_S
        await anyio.sleep(CHECK_INTERVAL_S)
        delay_s = max(0.0, time.monotonic() - due_at)
        self.mean_s += NEWEST_WEIGHT * (delay_s - self.mean_s)
