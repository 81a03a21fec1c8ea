"""Logging configuration: plain text for people, or JSON lines."""

import logging

from plantainloft_node.entry.structured_logging import setup_structured_logging

__all__ = ['setup_logging']


def setup_logging(*, level: str, fmt: str, instance: str) -> None:
    """Configure logging at ``level``, as text on standard error or as JSON (``fmt``)."""
    if fmt == 'json':
        setup_structured_logging(level=level, instance=instance)
    else:
        logging.basicConfig(level=level, format='%(asctime)s %(levelname)s %(message)s', force=True)
    # httpx logs every request at INFO, which would bury the node's own messages.
    logging.getLogger('httpx').setLevel(logging.WARNING)
