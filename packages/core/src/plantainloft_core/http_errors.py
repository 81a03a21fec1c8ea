"""What an HTTP client's errors prove about the request."""

import httpx

__all__ = ['NEVER_SENT']

# No connection was had, so nothing of the request left this process: it
# cannot have run. Any other error may come after the other side ran it.
NEVER_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
