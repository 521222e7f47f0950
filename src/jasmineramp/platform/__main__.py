"""Run a node on the users' platform."""

import asyncio
import os
import pathlib
import signal
import sys
import time

import uvloop

from jasmineramp.clock import Millis
from jasmineramp.exceptions import SettingsError
from jasmineramp.mesh.decision_log import DecisionLog
from jasmineramp.mesh.node import Node
from jasmineramp.mesh.node_settings import NodeSettings
from jasmineramp.platform.binding import PlatformBinding
from jasmineramp.platform.settings import PATH_VARIABLE, load_settings
from jasmineramp.platform.store_client import StoreClient

_NANOSECONDS_PER_MILLISECOND = 1_000_000


class BootClock:
    """Read the clock that goes on while the VM is suspended."""

    def now(self) -> Millis:
        """Return the time in milliseconds since an arbitrary origin."""
        nanoseconds = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        return Millis(nanoseconds / _NANOSECONDS_PER_MILLISECOND)


async def _serve(settings: NodeSettings, path: pathlib.Path) -> None:
    loop = asyncio.get_running_loop()
    log = DecisionLog(settings.node)
    node = Node(
        settings,
        StoreClient(*settings.store),
        PlatformBinding(),
        log,
        BootClock(),
    )
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, path, log)
    await node.start()
    await stop.wait()
    await node.stop()


def _reload(path: pathlib.Path, log: DecisionLog) -> None:
    try:
        load_settings(path)
    except SettingsError as error:
        log.write('settings_rejected', error=str(error))
        return
    log.write('settings_reloaded')


def main() -> int:
    """Run until SIGTERM; return 2 for settings that can't be used."""
    path = pathlib.Path(os.environ.get(PATH_VARIABLE, ''))
    try:
        settings = load_settings(path)
    except SettingsError as error:
        sys.stderr.write(f'{error}\n')
        return error.exit_code
    uvloop.run(_serve(settings, path))
    return 0


if __name__ == '__main__':
    sys.exit(main())
