"""Run a node on the users' platform."""

import asyncio
import gc
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

# New settings may come without a signal; reading takes a fraction of a ms.
SETTINGS_INTERVAL_S = 5
# Allocations between two collections; the default of 700 takes more time.
GC_THRESHOLD = 5_000
_NANOSECONDS_PER_MILLISECOND = 1_000_000


class BootClock:
    """Read the clock that goes on while the VM is suspended."""

    def now(self) -> Millis:
        """Return the time in milliseconds since an arbitrary origin."""
        nanoseconds = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        return Millis(nanoseconds / _NANOSECONDS_PER_MILLISECOND)


class _SettingsFile:
    """Notice new settings, with or without a signal."""

    def __init__(self, path: pathlib.Path, node: Node) -> None:
        self.path = path
        self.node = node
        self.settings = node.settings

    def reload(self) -> None:
        """Adopt the settings in the file; keep the present ones if wrong."""
        try:
            settings = load_settings(self.path)
        except SettingsError as error:
            self.node.log.write('settings_rejected', error=str(error))
            return
        if settings != self.settings:
            self.settings = settings
            self.node.reload(settings)

    async def watch(self) -> None:
        """Read the file again and again until cancelled."""
        while True:
            await asyncio.sleep(SETTINGS_INTERVAL_S)
            self.reload()


async def _serve(settings: NodeSettings, path: pathlib.Path) -> None:
    loop = asyncio.get_running_loop()
    node = Node(
        settings,
        StoreClient(*settings.store),
        PlatformBinding(),
        DecisionLog(settings.node),
        BootClock(),
    )
    settings_file = _SettingsFile(path, node)
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, settings_file.reload)
    # What the start has made stays; calls leave few cycles.
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    await node.start()
    watching = loop.create_task(settings_file.watch())
    await stop.wait()
    watching.cancel()
    await node.stop()


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
