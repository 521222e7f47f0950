"""Run a node from its settings file."""

import contextlib
import os
import pathlib
import signal
import sys
import threading
from types import FrameType

import fire

from jasmineramp.exceptions import JasminerampError
from jasmineramp.ids import Revision
from jasmineramp.logs import configure_logs, get_logger
from jasmineramp.node import Node
from jasmineramp.settings import Settings, load_settings
from jasmineramp.table_files import encode_table, load_table

SECOND_SIGNAL_STATUS = 1
_TABLE_FILE_REVISION = Revision(1)


def run(settings: str) -> None:
    """Run a node until SIGTERM or SIGINT; a second signal exits immediately.

    Exit status: 0 after a graceful stop, 1 on a fault, 2 on bad settings.
    """
    try:
        _run(load_settings(pathlib.Path(settings)))
    except JasminerampError as error:
        sys.stderr.write(f'{error}\n')
        sys.exit(error.exit_code)


def main() -> None:
    """Start the console script."""
    fire.Fire(run, name='jasmineramp-node')


def _run(settings: Settings) -> None:
    configure_logs(settings.node, settings.log_level)
    log = get_logger(__name__)
    body = b''
    if settings.table:
        body = encode_table(load_table(pathlib.Path(settings.table)))
    stop = _install_signal_handlers()
    with contextlib.closing(Node(settings)) as node:
        if not settings.platform:
            log.warning(
                'table_in_memory',
                remedy='set platform in the settings to keep edits',
            )
            node.load_table(_TABLE_FILE_REVISION, body)
        node.on_drain = stop.set
        node.start()
        stop.wait()
        node.stop()
    log.info('node_stopped')


def _install_signal_handlers() -> threading.Event:
    stop = threading.Event()

    def handle(number: int, frame: FrameType | None) -> None:
        if stop.is_set():
            # sys.exit would wait for the threads that run calls.
            os._exit(SECOND_SIGNAL_STATUS)
        stop.set()

    signal.signal(signal.SIGTERM, handle)
    signal.signal(signal.SIGINT, handle)
    return stop
