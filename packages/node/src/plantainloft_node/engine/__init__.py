"""The forwarding engine: callers' connections, endpoints' connections."""
