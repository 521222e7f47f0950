"""Write structured logs as JSON lines."""

import logging
import sys

import structlog
from structlog.typing import EventDict

from jasmineramp.ids import NodeId

LEVELS = ('debug', 'info', 'warning', 'error')


def configure_logs(node: NodeId, level: str) -> None:
    """Configure the process to log JSON lines to standard error."""
    set_level(level)

    def add_node(_logger: object, _name: str, event: EventDict) -> EventDict:
        # Context variables are not inherited by the threads of the node.
        event['node'] = node
        return event

    structlog.configure(
        processors=[
            structlog.stdlib.filter_by_level,
            add_node,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso'),
            structlog.processors.dict_tracebacks,
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.stdlib.LoggerFactory(),
        cache_logger_on_first_use=True,
    )
    logging.basicConfig(format='%(message)s', stream=sys.stderr, force=True)
    set_level(level)
    logging.getLogger('waitress').setLevel(logging.ERROR)
    logging.getLogger('pykka').setLevel(logging.WARNING)


def set_level(level: str) -> None:
    """Set the minimum level that is logged."""
    logging.getLogger().setLevel(level.upper())


def is_debug() -> bool:
    """Return whether debug lines, such as those of single calls, are logged."""
    return logging.getLogger().isEnabledFor(logging.DEBUG)


def get_logger(name: str) -> structlog.stdlib.BoundLogger:
    """Return the logger of a module."""
    logger: structlog.stdlib.BoundLogger = structlog.get_logger(name)
    return logger
