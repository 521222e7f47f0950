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
from jasmineramp.mesh.process_memory import return_large_blocks
from jasmineramp.platform.binding import PlatformBinding
from jasmineramp.platform.settings import PATH_VARIABLE, load_settings
from jasmineramp.platform.store_client import StoreClient

# New settings may arrive without a signal; reading takes less than 1 ms.
SETTINGS_INTERVAL_S = 5
# Net allocations between collections; the default of 700 costs more time.
GC_THRESHOLD = 5_000
_NANOSECONDS_PER_MILLISECOND = 1_000_000


class BootClock:
    """Read the boot-time clock, which advances while the VM is suspended."""

    def now(self) -> Millis:
        """Return the time in milliseconds since an arbitrary origin."""
        nanoseconds = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        return Millis(nanoseconds / _NANOSECONDS_PER_MILLISECOND)


class _SettingsFile:
    """Reload the settings file on a signal or a change."""

    def __init__(self, path: pathlib.Path, node: Node) -> None:
        self.path = path
        self.node = node
        self.settings = node.settings

    def reload(self) -> None:
        """Apply changed settings; keep the current ones on an error."""
        try:
            settings = load_settings(self.path)
        except SettingsError as error:
            self.node.log.write('settings_rejected', error=str(error))
            return
        if settings != self.settings:
            self.settings = settings
            self.node.reload(settings)

    async def watch(self) -> None:
        """Reload the file every SETTINGS_INTERVAL_S seconds until cancelled."""
        while True:
            await asyncio.sleep(SETTINGS_INTERVAL_S)
            self.reload()


async def _serve(settings: NodeSettings, path: pathlib.Path) -> None:
    loop = asyncio.get_running_loop()
    node = Node(
        settings,
        StoreClient(*settings.store, settings.store_value_bytes),
        PlatformBinding(),
        DecisionLog(settings.node),
        BootClock(),
    )
    settings_file = _SettingsFile(path, node)
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, settings_file.reload)
    # Startup objects live as long as the process; calls create few cycles.
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    await node.start()
    watching = loop.create_task(settings_file.watch())
    await stop.wait()
    watching.cancel()
    await node.stop()


def main() -> int:
    """Run until SIGTERM or SIGINT; return 2 for invalid settings."""
    path = pathlib.Path(os.environ.get(PATH_VARIABLE, ''))
    try:
        settings = load_settings(path)
    except SettingsError as error:
        sys.stderr.write(f'{error}\n')
        return error.exit_code
    return_large_blocks()
    uvloop.run(_serve(settings, path))
    return 0


if __name__ == '__main__':
    sys.exit(main())
