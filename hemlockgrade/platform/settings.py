"""Settings of a process as the platform writes them."""

import os
import tomllib
from typing import Any

import attrs

from hemlockgrade import exceptions
from hemlockgrade.mesh import settings

PATH_VARIABLE = 'HEMLOCKGRADE_NODE_FILE'


def path() -> str:
    """Returns the path of the settings file.

    Raises:
        exceptions.SettingsError: The environment does not name it.
    """
    value = os.environ.get(PATH_VARIABLE)
    if not value:
        raise exceptions.SettingsError(
            f'{PATH_VARIABLE} is not set',
            remedy='set it to the path of the settings file',
        )
    return value


def load(source: str) -> settings.NodeSettings:
    """Reads the settings file and reports everything wrong in it at once.

    Args:
        source: Path of the file.

    Raises:
        exceptions.InvalidSettingsError: The file cannot be used.
    """
    try:
        with open(source, 'rb') as file:
            document = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise exceptions.InvalidSettingsError(
            f'settings {source} cannot be read',
            [exceptions.SettingsError(str(error), remedy='mend the file')],
        ) from error
    return _Decoder(document).decode()


@attrs.define
class _Decoder:
    """Reads keys and collects what is wrong with them."""

    document: dict[str, Any]
    errors: list[exceptions.HemlockError] = attrs.field(factory=list)

    def decode(self) -> settings.NodeSettings:
        ports = self._get('InternalPorts', list)
        if not _is_port_range(ports):
            self._wrong('InternalPorts', 'is no range of ports')
            ports = [1, 1]
        node = settings.NodeSettings(
            name=self._get('NodeName', str),
            ip=self._get('Ip', str),
            zone=self._get('Zone', str),
            service=self._get('Service', str),
            server_address=self._get('AppAddr', str),
            caller_address=self._get('Listen.Outbound', str),
            peer_address=self._get('Listen.Inbound', str),
            readiness_address=self._get('Listen.Ready', str),
            # The address that the server beside this process reports to.
            heartbeat_address=self._get('Listen.Control', str),
            metrics_address=f'{self._get("Ip", str)}:{ports[0]}',
            store_address=self._get('Provider.Address', str),
            bounds=self._bounds(),
        )
        if self.errors:
            raise exceptions.InvalidSettingsError(
                'the settings cannot be used', self.errors
            )
        return node

    def _bounds(self) -> settings.Bounds:
        return settings.Bounds(
            grace_s=float(self._get('Bounds.GraceS', (int, float))),
            retry_ratio=float(
                self._get('Bounds.RetryBudgetRatio', (int, float))
            ),
            retry_slack=float(self._get('Bounds.BudgetSlack', (int, float))),
            exposed_share=float(self._get('Bounds.ExposeShare', (int, float))),
        )

    def _get(self, key: str, kind: Any) -> Any:
        value: Any = self.document
        for part in key.split('.'):
            value = value.get(part) if isinstance(value, dict) else None
        if isinstance(value, kind) and not isinstance(value, bool):
            return value
        self._wrong(key, 'is missing' if value is None else f'is {value!r}')
        first = kind[0] if isinstance(kind, tuple) else kind
        return first()

    def _wrong(self, key: str, problem: str):
        self.errors.append(
            exceptions.SettingsError(
                f'{key} {problem}', remedy='correct the key in the settings'
            )
        )


def _is_port_range(ports: list[Any]) -> bool:
    return (
        len(ports) == 2
        and all(isinstance(port, int) for port in ports)
        and 0 < ports[0] <= ports[1] < 65536
    )
