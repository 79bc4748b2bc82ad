"""Plug-ins that register themselves, and the named events they take part in."""

from collections.abc import Callable
from collections.abc import Iterable
import importlib
from typing import Any
from typing import TypeVar

from loguru import logger

from hemlockgrade import exceptions

# In the order in which a daemon emits them during its life.
EVENT_NAMES = (
    'startup',
    'configuration_applied',
    'definition_changed',
    'definition_removed',
    'members_changed',
    'rollout_changed',
    'drain',
    'shutdown',
)

Callback = Callable[..., None]
T = TypeVar('T')

_plugin_by_name_by_group: dict[str, dict[str, Any]] = {}


def register(group: str, name: str) -> Callable[[T], T]:
    """Registers a plug-in when its module is imported.

    Args:
        group: Kind of plug-in, for example `balancers`.
        name: Name by which settings choose it.
    """

    def add(plugin: T) -> T:
        _plugin_by_name_by_group.setdefault(group, {})[name] = plugin
        return plugin

    return add


def load_modules(modules: Iterable[str]) -> None:
    """Imports the modules whose plug-ins register themselves.

    Raises:
        exceptions.PluginError: A module does not load.
    """
    for module in modules:
        try:
            importlib.import_module(module)
        except (ImportError, AttributeError) as error:
            raise exceptions.PluginError(
                f'plug-in module {module!r} does not load: {error}',
                remedy='install it or correct the setting plugins',
            ) from error


def get_plugin(group: str, name: str) -> Any:
    """Returns a plug-in that has registered itself.

    Raises:
        exceptions.PluginError: None of that name has.
    """
    by_name = _plugin_by_name_by_group.get(group, {})
    if name not in by_name:
        known = ', '.join(sorted(by_name)) or 'none'
        raise exceptions.PluginError(
            f'no plug-in {name!r} among the {group}',
            remedy=f'add its module to the setting plugins or use: {known}',
        )
    return by_name[name]


def get_plugins(group: str) -> list[Any]:
    """Returns all plug-ins of a group, in the order of registration."""
    return list(_plugin_by_name_by_group.get(group, {}).values())


class EventDispatcher:
    """Calls the registered callbacks of each event in their order."""

    def __init__(self):
        self._callbacks_by_event: dict[str, list[Callback]] = {
            event: [] for event in EVENT_NAMES
        }

    def add_callback(self, event: str, callback: Callback):
        """Registers a callback for a named event.

        Raises:
            exceptions.PluginError: The event does not exist.
        """
        if event not in self._callbacks_by_event:
            raise exceptions.PluginError(
                f'unknown event {event!r}',
                remedy=f'use one of {", ".join(EVENT_NAMES)}',
            )
        self._callbacks_by_event[event].append(callback)

    def register_plugin(self, plugin: Any):
        """Registers every method `on_<event>` of a plug-in."""
        for event in EVENT_NAMES:
            callback = getattr(plugin, f'on_{event}', None)
            if callback is not None:
                self.add_callback(event, callback)

    def emit(self, event: str, **fields: Any):
        """Calls the callbacks of an event; a failing one stops no other."""
        for callback in self._callbacks_by_event[event]:
            try:
                callback(**fields)
            except Exception:
                logger.exception('event=plugin_failed hook={}', event)
