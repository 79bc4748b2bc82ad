"""Registry of plug-ins, and dispatch of named events to their callbacks."""

from collections.abc import Callable
from collections.abc import Iterable
import importlib
from typing import Any
from typing import TypeVar

from loguru import logger

from hemlockgrade import exceptions

# Events of a daemon. Those between `startup` and `drain` may occur repeatedly
# and in any order.
EVENT_NAMES = (
    'startup',
    'configuration_applied',
    'definition_changed',
    'definition_removed',
    'members_changed',
    'rollout_changed',
    'evacuation_changed',
    'drain',
    'shutdown',
)

Callback = Callable[..., None]
T = TypeVar('T')

_plugin_by_name_by_group: dict[str, dict[str, Any]] = {}


def register(group: str, name: str) -> Callable[[T], T]:
    """Returns a decorator that registers a plug-in class or function.

    Args:
        group: Kind of plug-in, for example `balancers`.
        name: Name that selects the plug-in in the settings.
    """

    def add(plugin: T) -> T:
        _plugin_by_name_by_group.setdefault(group, {})[name] = plugin
        return plugin

    return add


def load_modules(modules: Iterable[str]) -> None:
    """Imports plug-in modules; each registers its plug-ins on import.

    Args:
        modules: Names of the modules.

    Raises:
        exceptions.PluginError: A module cannot be imported.
    """
    for module in modules:
        try:
            importlib.import_module(module)
        except (ImportError, AttributeError) as error:
            raise exceptions.PluginError(
                f'plug-in module {module!r} cannot be imported: {error}',
                remedy='install the module or correct the setting plugins',
            ) from error


def get_plugin(group: str, name: str) -> Any:
    """Returns a registered plug-in.

    Args:
        group: Kind of plug-in.
        name: Name of the plug-in.

    Raises:
        exceptions.PluginError: No plug-in of that group has that name.
    """
    by_name = _plugin_by_name_by_group.get(group, {})
    if name not in by_name:
        known = ', '.join(sorted(by_name)) or 'none'
        raise exceptions.PluginError(
            f'no plug-in {name!r} is registered in the group {group}',
            remedy=f'add its module to the setting plugins or use: {known}',
        )
    return by_name[name]


def get_plugins(group: str) -> list[Any]:
    """Returns all plug-ins of a group, in the order of registration."""
    return list(_plugin_by_name_by_group.get(group, {}).values())


class EventDispatcher:
    """Calls the callbacks of an event in the order of their registration."""

    def __init__(self):
        self._callbacks_by_event: dict[str, list[Callback]] = {
            event: [] for event in EVENT_NAMES
        }

    def add_callback(self, event: str, callback: Callback):
        """Registers a callback for a named event.

        Args:
            event: One of `EVENT_NAMES`.
            callback: Called with the fields of the event as keywords.

        Raises:
            exceptions.PluginError: No event has that name.
        """
        if event not in self._callbacks_by_event:
            raise exceptions.PluginError(
                f'unknown event {event!r}',
                remedy=f'use one of {", ".join(EVENT_NAMES)}',
            )
        self._callbacks_by_event[event].append(callback)

    def register_plugin(self, plugin: Any):
        """Registers each method `on_<event>` of a plug-in as a callback."""
        for event in EVENT_NAMES:
            callback = getattr(plugin, f'on_{event}', None)
            if callback is not None:
                self.add_callback(event, callback)

    def emit(self, event: str, **fields: Any):
        """Calls the callbacks of an event.

        An exception in a callback is logged; the remaining callbacks still run.

        Args:
            event: Name of the event.
            fields: Passed to each callback as keywords.
        """
        for callback in self._callbacks_by_event[event]:
            try:
                callback(**fields)
            except Exception:
                logger.exception('event=plugin_failed hook={}', event)
