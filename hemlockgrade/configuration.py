"""The configuration of a proxy: whole validation and one-step application."""

import math
from typing import Any

import attrs
import cattrs

from hemlockgrade import exceptions
from hemlockgrade import model
from hemlockgrade import serialization

# A change goes to every daemon; 4 KB is half a second of its control budget.
MAX_OBJECT_BYTES = 4096
MAX_NAME_LENGTH = 63
MAX_TIMEOUT_MS = 600_000

OBJECT_BY_KIND = {
    model.ChangeKind.PUT_LABEL: 'label',
    model.ChangeKind.DELETE_LABEL: 'label',
    model.ChangeKind.PUT_SELECTOR: 'selector',
    model.ChangeKind.DELETE_SELECTOR: 'selector',
}


@attrs.frozen(kw_only=True)
class Configuration:
    """An immutable configuration; each applied change makes a new one.

    Attributes:
        version: Number of the last change that was applied.
        labels_by_name: All labels.
        selectors_by_name: All selectors as operators wrote them.
        rollouts_by_selector: The last rollout of each selector.
        epochs_by_lease: Highest epoch seen for each lease.
        numbers_by_object: Number of the last operator's change of each
            label and selector, by `kind/name`.
    """

    version: int = 0
    labels_by_name: dict[str, model.Label] = attrs.field(factory=dict)
    selectors_by_name: dict[str, model.Selector] = attrs.field(factory=dict)
    rollouts_by_selector: dict[str, model.Rollout] = attrs.field(factory=dict)
    epochs_by_lease: dict[str, int] = attrs.field(factory=dict)
    numbers_by_object: dict[str, int] = attrs.field(factory=dict)

    def shares(self, selector_name: str) -> dict[str, float]:
        """Returns the traffic shares in force, as fractions of 1."""
        selector = self.selectors_by_name[selector_name]
        goal = selector.shares_by_version
        rollout = self.rollouts_by_selector.get(selector_name)
        if rollout is None or rollout.state is model.RolloutState.DONE:
            return {v: s / 100 for v, s in goal.items() if s}
        old = rollout.old_shares_by_version
        progress = rollout.progress_permille / 1000
        if rollout.state is model.RolloutState.ROLLED_BACK:
            progress = 0.0
        mixed = {
            version: (
                old.get(version, 0) * (1 - progress)
                + goal.get(version, 0) * progress
            )
            / 100
            for version in sorted({*old, *goal})
        }
        return {v: s for v, s in mixed.items() if s}

    def settled_shares(self, selector_name: str) -> dict[str, int]:
        """Returns the shares of the last completed state, in percent."""
        rollout = self.rollouts_by_selector.get(selector_name)
        if rollout is None or rollout.state is model.RolloutState.DONE:
            return self.selectors_by_name[selector_name].shares_by_version
        return rollout.old_shares_by_version


def validate(
    configuration: Configuration, change: model.Change, now: float
) -> None:
    """Checks a change against the whole configuration it would apply to.

    Args:
        configuration: The configuration before the change.
        change: The change to check.
        now: Seconds of Unix time, for deadlines in the past.

    Raises:
        exceptions.InvalidChangeError: Holds an error for each refused field.
    """
    checks = {
        model.ChangeKind.PUT_LABEL: _check_put_label,
        model.ChangeKind.DELETE_LABEL: _check_delete_label,
        model.ChangeKind.PUT_SELECTOR: _check_put_selector,
        model.ChangeKind.DELETE_SELECTOR: _check_delete_selector,
    }
    check = checks.get(change.kind)
    if check is None:
        return
    errors = list(check(configuration, change, now))
    if len(serialization.to_json(change.body)) > MAX_OBJECT_BYTES:
        errors.append(
            exceptions.InvalidFieldError(
                'body',
                f'larger than {MAX_OBJECT_BYTES} bytes',
                remedy='use patterns for members or split the object',
            )
        )
    if errors:
        raise exceptions.InvalidChangeError(
            f'{change.kind} {change.name} refused', errors
        )


def apply(configuration: Configuration, change: model.Change) -> Configuration:
    """Applies the next change of the log in one step.

    The result depends on the arguments alone, so that every daemon reaches
    the same configuration from the same log.

    Raises:
        ValueError: The change is not the next one.
    """
    if change.number != configuration.version + 1:
        raise ValueError(
            f'change {change.number} does not follow {configuration.version}'
        )
    handlers = {
        model.ChangeKind.PUT_LABEL: _put_label,
        model.ChangeKind.DELETE_LABEL: _delete_label,
        model.ChangeKind.PUT_SELECTOR: _put_selector,
        model.ChangeKind.DELETE_SELECTOR: _delete_selector,
        model.ChangeKind.EPOCH: _set_epoch,
        model.ChangeKind.SET_PROGRESS: _set_progress,
        model.ChangeKind.END_ROLLOUT: _end_rollout,
    }
    fields = handlers[change.kind](configuration, change)
    key = object_key(change)
    if key is not None:
        numbers = {**configuration.numbers_by_object, key: change.number}
        fields['numbers_by_object'] = numbers
    return attrs.evolve(configuration, version=change.number, **fields)


def object_key(change: model.Change) -> str | None:
    """Returns `kind/name` of the object that an operator's change is about."""
    kind = OBJECT_BY_KIND.get(change.kind)
    return None if kind is None else f'{kind}/{change.name}'


def _put_label(
    configuration: Configuration, change: model.Change
) -> dict[str, Any]:
    label = serialization.from_plain(change.body, model.Label)
    return {
        'labels_by_name': {**configuration.labels_by_name, label.name: label}
    }


def _delete_label(
    configuration: Configuration, change: model.Change
) -> dict[str, Any]:
    return {
        'labels_by_name': _without(configuration.labels_by_name, change.name)
    }


def _put_selector(
    configuration: Configuration, change: model.Change
) -> dict[str, Any]:
    selector = serialization.from_plain(change.body, model.Selector)
    selectors = {**configuration.selectors_by_name, selector.name: selector}
    rollouts = dict(configuration.rollouts_by_selector)
    new_version = _new_version(configuration, selector)
    if new_version is not None:
        rollouts[selector.name] = model.Rollout(
            selector=selector.name,
            started_by=change.number,
            new_version=new_version,
            old_shares_by_version=configuration.settled_shares(selector.name),
            started_at=change.written_at,
            agreed_by=selector.agreed_by or change.written_at,
        )
    else:
        rollouts.pop(selector.name, None)
    return {'selectors_by_name': selectors, 'rollouts_by_selector': rollouts}


def _delete_selector(
    configuration: Configuration, change: model.Change
) -> dict[str, Any]:
    return {
        'selectors_by_name': _without(
            configuration.selectors_by_name, change.name
        ),
        'rollouts_by_selector': _without(
            configuration.rollouts_by_selector, change.name
        ),
    }


def _set_epoch(
    configuration: Configuration, change: model.Change
) -> dict[str, Any]:
    epochs = configuration.epochs_by_lease
    highest = max(change.epoch, epochs.get(change.name, 0))
    return {'epochs_by_lease': {**epochs, change.name: highest}}


def _set_progress(
    configuration: Configuration, change: model.Change
) -> dict[str, Any]:
    rollout = _current_rollout(configuration, change)
    if rollout is None:
        return {}
    return _with_rollout(
        configuration,
        attrs.evolve(
            rollout,
            progress_permille=change.body['progress_permille'],
            reason=change.body.get('reason', ''),
        ),
    )


def _end_rollout(
    configuration: Configuration, change: model.Change
) -> dict[str, Any]:
    rollout = _current_rollout(configuration, change)
    if rollout is None:
        return {}
    state = model.RolloutState(change.body['state'])
    done = state is model.RolloutState.DONE
    return _with_rollout(
        configuration,
        attrs.evolve(
            rollout,
            state=state,
            progress_permille=1000 if done else 0,
            reason=change.body.get('reason', ''),
        ),
    )


def _current_rollout(
    configuration: Configuration, change: model.Change
) -> model.Rollout | None:
    """Finds the rollout that a holder's change is about, unless it is stale."""
    if change.epoch < configuration.epochs_by_lease.get('rollout', 0):
        return None
    rollout = configuration.rollouts_by_selector.get(change.name)
    if rollout is None or rollout.state is not model.RolloutState.RUNNING:
        return None
    if rollout.started_by != change.body.get('started_by'):
        return None
    return rollout


def _with_rollout(
    configuration: Configuration, rollout: model.Rollout
) -> dict[str, Any]:
    rollouts = {**configuration.rollouts_by_selector, rollout.selector: rollout}
    return {'rollouts_by_selector': rollouts}


def _new_version(
    configuration: Configuration, selector: model.Selector
) -> str | None:
    """Names the version that a selector introduces, if any."""
    if selector.name not in configuration.selectors_by_name:
        return None
    settled = configuration.settled_shares(selector.name)
    for version, share in selector.shares_by_version.items():
        if share and not settled.get(version):
            return version
    return None


def _without(by_name: dict[str, Any], name: str) -> dict[str, Any]:
    return {key: value for key, value in by_name.items() if key != name}


def _parse(body: dict[str, Any], kind: type) -> tuple[Any, list]:
    try:
        return serialization.from_plain(body, kind), []
    except cattrs.BaseValidationError as error:
        return None, [
            exceptions.InvalidFieldError(
                kind.__name__.lower(),
                line,
                remedy='fields are '
                + ', '.join(serialization.field_names(kind)),
            )
            for line in serialization.field_errors(error)
        ]


def _check_name(name: str, expected: str):
    allowed = all(c.isalnum() or c in '-_.' for c in name)
    if not name or not allowed or len(name) > MAX_NAME_LENGTH:
        yield exceptions.InvalidFieldError(
            'name',
            f'{name!r} is not a valid name',
            remedy=f'use 1 to {MAX_NAME_LENGTH} letters, digits, - _ or .',
        )
    if name != expected:
        yield exceptions.InvalidFieldError(
            'name',
            f'{name!r} differs from the object name {expected!r}',
            remedy='use the same name in both places',
        )


def _check_put_label(configuration, change, now):
    label, errors = _parse(change.body, model.Label)
    yield from errors
    if label is None:
        return
    yield from _check_name(label.name, change.name)
    if not label.members or not all(label.members):
        yield exceptions.InvalidFieldError(
            'members',
            'empty list or empty pattern',
            remedy='name at least one identifier or pattern',
        )
    for selector in configuration.selectors_by_name.values():
        wanted = {
            selector.targets: model.LabelKind.TARGET,
            selector.proxies: model.LabelKind.PROXY,
        }.get(label.name)
        if wanted is not None and wanted is not label.kind:
            yield exceptions.InvalidFieldError(
                'kind',
                f'selector {selector.name} uses it as a {wanted} label',
                remedy='change the selector first or use another name',
            )


def _check_delete_label(configuration, change, now):
    if change.name not in configuration.labels_by_name:
        yield _unknown('name', 'label', change.name)
    for selector in configuration.selectors_by_name.values():
        if change.name in (selector.proxies, selector.targets):
            yield exceptions.InvalidFieldError(
                'name',
                f'label {change.name} is used by selector {selector.name}',
                remedy='remove or change the selector first',
            )


def _check_delete_selector(configuration, change, now):
    if change.name not in configuration.selectors_by_name:
        yield _unknown('name', 'selector', change.name)


def _check_put_selector(configuration, change, now):
    selector, errors = _parse(change.body, model.Selector)
    yield from errors
    if selector is None:
        return
    yield from _check_name(selector.name, change.name)
    yield from _check_labels(configuration, selector)
    yield from _check_routes(configuration, selector)
    yield from _check_shares(selector)
    yield from _check_rollout(configuration, selector, now)


def _check_labels(configuration, selector):
    for field, kind in (
        ('proxies', model.LabelKind.PROXY),
        ('targets', model.LabelKind.TARGET),
    ):
        name = getattr(selector, field)
        label = configuration.labels_by_name.get(name)
        if label is None:
            yield _unknown(field, 'label', name)
        elif label.kind is not kind:
            yield exceptions.InvalidFieldError(
                field,
                f'label {name} has kind {label.kind}',
                remedy=f'name a {kind} label',
            )
    if not selector.service:
        yield exceptions.InvalidFieldError(
            'service', 'is empty', remedy='name the service'
        )


def _check_routes(configuration, selector):
    if not selector.routes:
        yield exceptions.InvalidFieldError(
            'routes', 'is empty', remedy='name at least one path prefix'
        )
    for route in selector.routes:
        if not route.path_prefix.startswith('/'):
            yield exceptions.InvalidFieldError(
                'routes.path_prefix',
                f'{route.path_prefix!r} is not a path',
                remedy='begin it with /',
            )
        if not 0 < route.timeout_ms <= MAX_TIMEOUT_MS:
            yield exceptions.InvalidFieldError(
                'routes.timeout_ms',
                f'{route.timeout_ms} is out of range',
                remedy=f'use 1 to {MAX_TIMEOUT_MS} milliseconds',
            )
    prefixes = [route.path_prefix for route in selector.routes]
    if len(set(prefixes)) != len(prefixes):
        yield exceptions.InvalidFieldError(
            'routes', 'a path prefix stands twice', remedy='keep one of them'
        )
    for other in configuration.selectors_by_name.values():
        if other.name == selector.name or other.proxies != selector.proxies:
            continue
        for route in other.routes:
            if route.path_prefix in prefixes:
                yield exceptions.InvalidFieldError(
                    'routes',
                    f'{route.path_prefix} belongs to selector {other.name}',
                    remedy='choose another path prefix or change that selector',
                )


def _check_shares(selector):
    shares = selector.shares_by_version
    if any(share < 0 for share in shares.values()):
        yield exceptions.InvalidFieldError(
            'shares_by_version', 'a share is negative', remedy='use 0 to 100'
        )
    if sum(shares.values()) != 100:
        yield exceptions.InvalidFieldError(
            'shares_by_version',
            f'shares add up to {sum(shares.values())}',
            remedy='make them add up to 100',
        )


def _check_rollout(configuration, selector, now):
    agreed_by = selector.agreed_by
    if agreed_by is not None and not math.isfinite(agreed_by):
        yield exceptions.InvalidFieldError(
            'agreed_by', 'is not a time', remedy='use seconds of Unix time'
        )
        return
    if _new_version(configuration, selector) is None:
        return
    settled = configuration.settled_shares(selector.name)
    new = [
        version
        for version, share in selector.shares_by_version.items()
        if share and not settled.get(version)
    ]
    if len(new) > 1:
        yield exceptions.InvalidFieldError(
            'shares_by_version',
            f'names {len(new)} new versions: {", ".join(new)}',
            remedy='introduce one new version at a time',
        )
    if agreed_by is None:
        yield exceptions.InvalidFieldError(
            'agreed_by',
            f'missing, and version {new[0]} is new',
            remedy='give the time by which the new version takes over',
        )
    elif agreed_by <= now:
        yield exceptions.InvalidFieldError(
            'agreed_by',
            'lies in the past',
            remedy='give a time in the future',
        )


def _unknown(field: str, kind: str, name: str) -> exceptions.InvalidFieldError:
    return exceptions.InvalidFieldError(
        field, f'unknown {kind} {name!r}', remedy=f'create the {kind} first'
    )
