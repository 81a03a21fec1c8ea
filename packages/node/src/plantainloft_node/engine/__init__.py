"""The HTTP forwarding engine: connections from callers, connections to endpoints, and retries."""
