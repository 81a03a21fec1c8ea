"""The HTTP forwarding engine: connections of callers and to endpoints, and retries."""
