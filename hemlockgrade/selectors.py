"""Validates labels and selectors, and derives routes and rollouts from them."""

from collections.abc import Iterator
from collections.abc import Mapping
import math
from typing import Any
from typing import TypeVar

import attrs
import cattrs

from hemlockgrade import exceptions
from hemlockgrade import identifiers
from hemlockgrade import model
from hemlockgrade import revisions
from hemlockgrade import serialization

T = TypeVar('T')

# Every daemon receives each object. An object of 4 KB is as much as a daemon's
# budget for control traffic allows in half a second.
MAX_OBJECT_BYTES = 4096
MAX_NAME_LENGTH = 63
MAX_TIMEOUT_MS = 600_000
# Largest number of attempts of one request of a selector's route that may reach
# a server.
MAX_ATTEMPTS = 3
# Prefix of the keys of rollout orders that come from selectors.
SELECTOR_ORDER_PREFIX = 'selector.'


@attrs.frozen(kw_only=True)
class Definitions:
    """All labels and selectors, with the states of all rollouts.

    Attributes:
        label_by_name: All labels.
        selector_by_name: All selectors.
        share_by_key: States of rollouts by the key of their order.
    """

    label_by_name: Mapping[str, model.Definition] = attrs.field(factory=dict)
    selector_by_name: Mapping[str, model.Definition] = attrs.field(factory=dict)
    share_by_key: Mapping[str, model.VersionShare] = attrs.field(factory=dict)

    def of_kind(self, kind: str) -> Mapping[str, model.Definition]:
        """Returns all labels or all selectors, by name.

        Args:
            kind: `label` or `selector`.
        """
        return self.label_by_name if kind == 'label' else self.selector_by_name

    def label(self, name: str) -> model.Label | None:
        """Returns a label, or None if it does not exist."""
        found = self.label_by_name.get(name)
        if found is None or not isinstance(found.value, model.Label):
            return None
        return found.value

    def selectors(self) -> Iterator[model.Selector]:
        """Yields all selectors."""
        for definition in self.selector_by_name.values():
            if isinstance(definition.value, model.Selector):
                yield definition.value

    def rollout_share(
        self, definition: model.Definition
    ) -> model.VersionShare | None:
        """Returns the state of the rollout that a selector has started.

        Returns:
            None if the selector introduces no version, or if its rollout has
            no stored state yet; the state of an earlier rollout of the selector
            does not count.
        """
        if definition.new_version is None:
            return None
        share = self.share_by_key.get(
            SELECTOR_ORDER_PREFIX + definition.value.name
        )
        if share is None or not revisions.is_same_number(
            share.order_revision, definition.revision
        ):
            return None
        return share

    def stable_shares(self, name: str) -> dict[str, int]:
        """Returns the traffic shares that apply without the current rollout.

        Returns:
            The shares by version, in percent. They are the shares before the
            rollout; if the selector introduces no version, or if its rollout
            is done, they are the shares that the selector names.
        """
        definition = self.selector_by_name[name]
        assert isinstance(definition.value, model.Selector)
        if definition.new_version is None:
            return definition.value.shares_by_version
        share = self.rollout_share(definition)
        if share is not None and share.state is model.RolloutState.DONE:
            return definition.value.shares_by_version
        return definition.former_shares_by_version

    def traffic_fractions(self, name: str) -> dict[str, float]:
        """Returns the fraction of the requests that each version gets now.

        They are fractions of the selector's requests, from 0 to 1. While a
        rollout is running, they are interpolated between the stable shares and
        the shares that the selector names, by the progress of the rollout.
        """
        definition = self.selector_by_name[name]
        assert isinstance(definition.value, model.Selector)
        new = definition.value.shares_by_version
        stable = self.stable_shares(name)
        share = self.rollout_share(definition)
        progress = 0.0
        if share is not None and share.state is model.RolloutState.RUNNING:
            progress = share.permille / 1000
        fraction_by_version = {
            version: (
                stable.get(version, 0) * (1 - progress)
                + new.get(version, 0) * progress
            )
            / 100
            for version in sorted({*stable, *new})
        }
        return {
            version: fraction
            for version, fraction in fraction_by_version.items()
            if fraction
        }

    def routes_for(self, proxy_id: str) -> tuple[model.Route, ...]:
        """Returns the routes of the selectors that apply to a proxy.

        A selector with a missing label has no routes. This can happen if one
        operator removes a label while another one sets a selector that names
        the label.
        """
        routes = []
        for selector in self.selectors():
            proxies = self.label(selector.proxies)
            targets = self.label(selector.targets)
            if proxies is None or targets is None:
                continue
            if proxies.matches(proxy_id):
                stable = self.stable_shares(selector.name)
                versions = tuple(
                    model.VersionWeight(
                        version=version,
                        weight=weight,
                        stable=bool(stable.get(version)),
                    )
                    for version, weight in self.traffic_fractions(
                        selector.name
                    ).items()
                )
                routes += [
                    _build_route(selector, route, targets, versions)
                    for route in selector.routes
                ]
        return tuple(routes)

    def rollout_order(self, name: str, now: float) -> model.RolloutOrder | None:
        """Returns the rollout order of a selector.

        Args:
            name: Name of the selector.
            now: Current time in seconds of Unix time.

        Returns:
            None if the selector introduces no version.
        """
        definition = self.selector_by_name.get(name)
        if definition is None or definition.new_version is None:
            return None
        assert isinstance(definition.value, model.Selector)
        agreed_by = definition.value.agreed_by or definition.written_at
        return model.RolloutOrder(
            key=SELECTOR_ORDER_PREFIX + name,
            service=definition.value.service,
            version=definition.new_version,
            duration_s=max(0.0, agreed_by - now),
            revision=definition.revision,
            created_number=revisions.number_of(definition.revision),
            stores_outcome=False,
        )


def _build_route(
    selector: model.Selector,
    route: model.SelectorRoute,
    targets: model.Label,
    versions: tuple[model.VersionWeight, ...],
) -> model.Route:
    timeout_s = route.timeout_ms / 1000
    return model.Route(
        name=f'{selector.name}{route.path_prefix}',
        host='',
        prefix=route.path_prefix.rstrip('/') + '/',
        idempotent=None,
        attempts=MAX_ATTEMPTS,
        timeout_s=timeout_s,
        target_latency_s=timeout_s,
        priority=0,
        shares=(model.ServiceShare(service=selector.service, weight=1.0),),
        selector=selector.name,
        targets=targets,
        versions=versions,
    )


def check_label(
    definitions: Definitions, name: str, body: dict[str, Any]
) -> model.Label:
    """Checks a new or changed label.

    Args:
        definitions: The existing labels and selectors.
        name: Name under which the label is written.
        body: Fields of the label.

    Returns:
        The label.

    Raises:
        exceptions.InvalidChangeError: Contains one error for each refused
            field.
    """
    label, errors = _parse(body, model.Label)
    if label is not None:
        errors += _check_name(label.name, name)
        errors += _check_label(definitions, label)
    _raise_if_refused(f'label {name} refused', errors, body)
    assert label is not None
    return label


def check_selector(
    definitions: Definitions, name: str, body: dict[str, Any], now: float
) -> model.Selector:
    """Checks a new or changed selector.

    Args:
        definitions: The existing labels and selectors.
        name: Name under which the selector is written.
        body: Fields of the selector.
        now: Current time in seconds of Unix time; earlier agreed times are
            refused.

    Returns:
        The selector.

    Raises:
        exceptions.InvalidChangeError: Contains one error for each refused
            field.
    """
    selector, errors = _parse(body, model.Selector)
    if selector is not None:
        errors += _check_name(selector.name, name)
        errors += _check_labels_and_service(definitions, selector)
        errors += _check_routes(definitions, selector)
        errors += _check_shares(selector)
        errors += _check_rollout(definitions, selector, now)
    _raise_if_refused(f'selector {name} refused', errors, body)
    assert selector is not None
    return selector


def check_removal(definitions: Definitions, kind: str, name: str) -> None:
    """Checks whether a label or selector may be removed.

    Args:
        definitions: The existing labels and selectors.
        kind: `label` or `selector`.
        name: Name of the label or selector.

    Raises:
        exceptions.InvalidChangeError: Contains one error for each reason.
    """
    errors = []
    if name not in definitions.of_kind(kind):
        errors.append(_unknown('name', kind, name))
    elif kind == 'label':
        errors += [
            exceptions.InvalidFieldError(
                'name',
                f'label {name} is used by selector {selector.name}',
                remedy='remove or change the selector first',
            )
            for selector in definitions.selectors()
            if name in (selector.proxies, selector.targets)
        ]
    _raise_if_refused(f'removal of {kind} {name} refused', errors, {})


def new_version(
    definitions: Definitions, selector: model.Selector
) -> str | None:
    """Returns the version that a changed selector introduces.

    Returns:
        None if each version that gets a share had one in the stable shares
        already, or if the selector does not exist yet.
    """
    if selector.name not in definitions.selector_by_name:
        return None
    stable = definitions.stable_shares(selector.name)
    for version, share in selector.shares_by_version.items():
        if share and not stable.get(version):
            return version
    return None


def _raise_if_refused(
    message: str,
    errors: list[exceptions.InvalidFieldError],
    body: dict[str, Any],
):
    """Raises an error if a field was refused or the body is too large."""
    if len(serialization.to_json(body)) > MAX_OBJECT_BYTES:
        errors.append(
            exceptions.InvalidFieldError(
                'body',
                f'larger than {MAX_OBJECT_BYTES} bytes',
                remedy='use patterns as members or split the object',
            )
        )
    if errors:
        raise exceptions.InvalidChangeError(message, errors)


def _parse(
    body: dict[str, Any], model_class: type[T]
) -> tuple[T | None, list[exceptions.InvalidFieldError]]:
    """Returns the decoded body, or None and the errors of its fields."""
    try:
        return serialization.from_plain(body, model_class), []
    except cattrs.BaseValidationError as error:
        return None, [
            exceptions.InvalidFieldError(
                model_class.__name__.lower(),
                line,
                remedy='fields are '
                + ', '.join(serialization.field_names(model_class)),
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


def _check_label(definitions, label):
    if not label.members or not all(label.members):
        yield exceptions.InvalidFieldError(
            'members',
            'empty list or empty pattern',
            remedy='list at least one identifier or pattern',
        )
    for selector in definitions.selectors():
        used_kind = {
            selector.targets: model.LabelKind.TARGET,
            selector.proxies: model.LabelKind.PROXY,
        }.get(label.name)
        if used_kind is not None and used_kind is not label.kind:
            yield exceptions.InvalidFieldError(
                'kind',
                f'selector {selector.name} uses it as a {used_kind} label',
                remedy='change the selector first or use another name',
            )


def _check_labels_and_service(definitions, selector):
    for field, kind in (
        ('proxies', model.LabelKind.PROXY),
        ('targets', model.LabelKind.TARGET),
    ):
        name = getattr(selector, field)
        label = definitions.label(name)
        if label is None:
            yield _unknown(field, 'label', name)
        elif label.kind is not kind:
            yield exceptions.InvalidFieldError(
                field,
                f'label {name} has kind {label.kind}',
                remedy=f'use a {kind} label',
            )
    if not identifiers.is_identifier(selector.service):
        yield exceptions.InvalidFieldError(
            'service',
            f'{selector.service!r} is not a valid name',
            remedy='set the service, in printable characters',
        )


def _check_routes(definitions, selector):
    if not selector.routes:
        yield exceptions.InvalidFieldError(
            'routes', 'is empty', remedy='list at least one path prefix'
        )
    for route in selector.routes:
        if not route.path_prefix.startswith('/'):
            yield exceptions.InvalidFieldError(
                'routes.path_prefix',
                f'{route.path_prefix!r} is not a path',
                remedy='start the path prefix with /',
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
            'routes',
            'a path prefix is listed twice',
            remedy='remove one of them',
        )
    for other in definitions.selectors():
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
    if not all(map(identifiers.is_identifier, shares)):
        yield exceptions.InvalidFieldError(
            'shares_by_version',
            'a version is empty, too long or not printable',
            remedy='use the versions of the targets',
        )
    if any(share < 0 for share in shares.values()):
        yield exceptions.InvalidFieldError(
            'shares_by_version', 'a share is negative', remedy='use 0 to 100'
        )
    if sum(shares.values()) != 100:
        yield exceptions.InvalidFieldError(
            'shares_by_version',
            f'shares add up to {sum(shares.values())}',
            remedy='choose shares that add up to 100',
        )


def _check_rollout(definitions, selector, now):
    agreed_by = selector.agreed_by
    if agreed_by is not None and not math.isfinite(agreed_by):
        yield exceptions.InvalidFieldError(
            'agreed_by', 'is not a time', remedy='use seconds of Unix time'
        )
        return
    if new_version(definitions, selector) is None:
        return
    stable = definitions.stable_shares(selector.name)
    new = [
        version
        for version, share in selector.shares_by_version.items()
        if share and not stable.get(version)
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
            f'is missing, and version {new[0]} is new',
            remedy='give the time by which the new version takes over',
        )
    elif agreed_by <= now:
        yield exceptions.InvalidFieldError(
            'agreed_by',
            'is in the past',
            remedy='give a time in the future',
        )


def _unknown(field: str, kind: str, name: str) -> exceptions.InvalidFieldError:
    return exceptions.InvalidFieldError(
        field, f'unknown {kind} {name!r}', remedy=f'create the {kind} first'
    )
