"""Logging set-up: short sentences, text for people or JSON for machines."""

import json
import logging

__all__ = ['setup_logging']


class JsonFormatter(logging.Formatter):
    """One JSON object per line: time, level, logger, message."""

    def format(self, record: logging.LogRecord) -> str:
        """Return ``record`` as one JSON line."""
        return json.dumps(
            {
                'time': self.formatTime(record),
                'level': record.levelname,
                'logger': record.name,
                'message': record.getMessage(),
            }
        )


def setup_logging(*, level: str, fmt: str) -> None:
    """Send logs to standard error at ``level`` in ``fmt`` (text, json)."""
    handler = logging.StreamHandler()
    if fmt == 'json':
        handler.setFormatter(JsonFormatter())
    else:
        handler.setFormatter(logging.Formatter('%(asctime)s %(levelname)s %(message)s'))
    logging.basicConfig(level=level, handlers=[handler], force=True)
    # httpx logs every request at INFO: the node's own sentences drown.
    logging.getLogger('httpx').setLevel(logging.WARNING)
