"""Stand-ins for the platform: table service, object store, endpoints.

Each runs as a plain process on loopback. The table service can be told to be slow,
to be down, or to apply a write and lose its answer.
"""
