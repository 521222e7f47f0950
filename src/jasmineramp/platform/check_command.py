"""Check settings and configuration files without starting a node."""

import pathlib
from collections.abc import Sequence

from jasmineramp.command_output import Report, run_command, text
from jasmineramp.exceptions import SettingsError
from jasmineramp.ids import Revision
from jasmineramp.mesh.route_table import RouteTable
from jasmineramp.platform.binding import PlatformBinding
from jasmineramp.platform.settings import load_settings


class CheckCommand:
    """Check files before nodes read them.

    Exit status: 0 for a valid file, 2 for an invalid or unreadable one.
    """

    @text()
    def settings(self, file: str) -> Report:
        """Check the settings file of a node and print the settings."""
        settings = load_settings(pathlib.Path(file))
        lines = [
            f'{file} is valid',
            f'node {settings.node} of {settings.service} in {settings.domain}',
            *(
                f'{name} {getattr(settings.bounds, name):g}'
                for name in settings.bounds.__struct_fields__
            ),
            f'memory_bytes {settings.memory_bytes}',
            f'max_descriptors {settings.max_descriptors or "of the process"}',
        ]
        return Report('\n'.join(lines), settings)

    @text()
    def table(self, file: str) -> Report:
        """Check a configuration and print its rows, without API keys."""
        content = pathlib.Path(file).read_bytes()
        try:
            table = PlatformBinding().decode_table(content, Revision(0))
        except ValueError as error:
            raise SettingsError(
                file, str(error), 'correct the configuration'
            ) from None
        document = {
            'version': table.version,
            'routes': table.routes,
            'workspaces': list(table.workspaces.values()),
        }
        return Report('\n'.join(_render(file, table)), document)


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the console script."""
    run_command(CheckCommand, 'jasmineramp-check', arguments)


def _render(file: str, table: RouteTable) -> list[str]:
    lines = [f'{file} is valid, version {table.version}']
    for route in table.routes:
        services = '/'.join(
            f'{each.service} {each.weight:g}' for each in route.targets
        )
        lines.append(
            f'row {route.name}: {route.host}{route.prefix} to {services}, '
            f'{route.kind.value}, timeout {route.timeout_ms:g} ms, '
            f'rank {route.rank}, {route.attempts} attempts'
        )
    for service in table.services.values():
        if service.cold_per_s:
            lines.append(
                f'service {service.name}: cold for '
                f'{service.cold_start_ms:g} ms, {service.cold_per_s:g}/s then'
            )
    for workspace in table.workspaces.values():
        row = workspace.row
        rate = f'{row.rate:g}/s, burst {row.burst:g}' if row.rate else 'no rate'
        lines.append(f'workspace {row.name}: {rate}, rank {workspace.rank}')
    return lines
