"""Classification of HTTP client errors."""

import httpx

__all__ = ['NEVER_SENT']

# No connection was established, so no part of the request was sent and it
# cannot have been executed. Any other error may follow its execution.
NEVER_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
