"""Logging set-up: short sentences for people, or structured lines."""

import logging

from plantainloft_node.entry.decision_log import setup_decision_log

__all__ = ['setup_logging']


def setup_logging(*, level: str, fmt: str, instance: str) -> None:
    """Log at ``level``: sentences on standard error, or JSON (``fmt``)."""
    if fmt == 'json':
        setup_decision_log(level=level, instance=instance)
    else:
        logging.basicConfig(level=level, format='%(asctime)s %(levelname)s %(message)s', force=True)
    # httpx logs every request at INFO: the node's own sentences drown.
    logging.getLogger('httpx').setLevel(logging.WARNING)
