"""Plug-ins by entry point, and the named events they take part in."""

from collections.abc import Callable
from importlib import metadata
from typing import Any

from loguru import logger

from hemlockgrade import exceptions

GROUP_PREFIX = 'hemlockgrade.'

# In the order in which a daemon emits them during its life.
EVENTS = (
    'startup',
    'configuration_applied',
    'members_changed',
    'request_finished',
    'rollout_changed',
    'drain',
    'shutdown',
)

Callback = Callable[..., None]


def load_plugin(group: str, name: str) -> Any:
    """Loads the object that an installed package registers.

    Args:
        group: Kind of plug-in, for example `balancers`.
        name: Name of the entry point.

    Raises:
        exceptions.PluginError: No such entry point, or its import failed.
    """
    found = metadata.entry_points(group=GROUP_PREFIX + group)
    matching = [entry for entry in found if entry.name == name]
    if not matching:
        known = ', '.join(sorted({entry.name for entry in found})) or 'none'
        raise exceptions.PluginError(
            f'no plug-in {name!r} in {GROUP_PREFIX}{group}',
            remedy=f'install it or use one of: {known}',
        )
    try:
        return matching[0].load()
    except (ImportError, AttributeError) as error:
        raise exceptions.PluginError(
            f'plug-in {name!r} does not load: {error}',
            remedy='reinstall the package that provides it',
        ) from error


class Events:
    """Calls the registered callbacks of each event in their order."""

    def __init__(self):
        self._callbacks_by_event: dict[str, list[Callback]] = {
            event: [] for event in EVENTS
        }

    def on(self, event: str, callback: Callback):
        """Registers a callback for a named event.

        Raises:
            exceptions.PluginError: The event does not exist.
        """
        if event not in self._callbacks_by_event:
            raise exceptions.PluginError(
                f'unknown event {event!r}',
                remedy=f'use one of {", ".join(EVENTS)}',
            )
        self._callbacks_by_event[event].append(callback)

    def register(self, plugin: Any):
        """Registers every method `on_<event>` of a plug-in."""
        for event in EVENTS:
            callback = getattr(plugin, f'on_{event}', None)
            if callback is not None:
                self.on(event, callback)

    def emit(self, event: str, **fields: Any):
        """Calls the callbacks of an event; a failing one stops no other."""
        for callback in self._callbacks_by_event[event]:
            try:
                callback(**fields)
            except Exception:
                logger.exception('event=plugin_failed hook={}', event)
