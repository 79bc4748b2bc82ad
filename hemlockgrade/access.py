"""Decides whether a request of a caller is served, and for which organisation.

If the configuration names organisations, a request needs the key of one of
them, unless its route is open to all or a server sent it while it runs another
request.
"""

import enum
import math

import attrs

from hemlockgrade import freshness
from hemlockgrade import http_codec
from hemlockgrade import model
from hemlockgrade.platform import codec as platform_codec

# Largest age of the proof that a key has not been withdrawn, as a fraction of
# the limit. The rest is for clocks that run at different rates.
MAX_PROOF_AGE_FRACTION = 0.8


class Verdict(enum.StrEnum):
    """Whether a request is served.

    Attributes:
        SERVED: The request is served.
        DENIED: The request has no key of an organisation.
        UNPROVED: The keys in force may be outdated.
    """

    SERVED = 'served'
    DENIED = 'denied'
    UNPROVED = 'unproved'


@attrs.frozen
class Decision:
    """The verdict on a request.

    Attributes:
        verdict: Whether the request is served.
        organisation: Organisation that sent it; None if it is not known.
    """

    verdict: Verdict
    organisation: model.Organisation | None = None


@attrs.frozen(kw_only=True)
class Knowledge:
    """How much this daemon knows of the keys in force.

    Attributes:
        age_s: Time since the configuration in force was confirmed to be the
            newest one, in seconds.
        revocation_limit_s: Longest time from the withdrawal of a key to the
            last request with it, in seconds; `math.inf` if there is no limit.
    """

    age_s: float
    revocation_limit_s: float = math.inf

    @property
    def proves_keys(self) -> bool:
        """Returns whether a key that is known has not been withdrawn."""
        return self.age_s <= self.revocation_limit_s * MAX_PROOF_AGE_FRACTION

    @property
    def proves_absence(self) -> bool:
        """Returns whether a key that is not known is not in force."""
        return self.age_s <= freshness.APPLY_LIMIT_S


def decide(
    configuration: model.MeshConfiguration | None,
    route: model.Route,
    headers: http_codec.Headers,
    *,
    is_nested: bool,
    knowledge: Knowledge,
) -> Decision:
    """Decides whether a request is served.

    Args:
        configuration: The configuration in force; None if there is none.
        route: Route of the request.
        headers: Headers of the request.
        is_nested: True if the local server sent the request while it runs
            another one.
        knowledge: How much this daemon knows of the keys in force.
    """
    if not requires_keys(configuration) or is_nested:
        return Decision(Verdict.SERVED)
    assert configuration is not None
    organisation = configuration.organisation_by_key.get(key_of(headers))
    if organisation is not None and knowledge.proves_keys:
        return Decision(Verdict.SERVED, organisation)
    if route.open_to_all:
        return Decision(Verdict.SERVED)
    if organisation is None and knowledge.proves_absence:
        return Decision(Verdict.DENIED)
    return Decision(Verdict.UNPROVED)


def requires_keys(configuration: model.MeshConfiguration | None) -> bool:
    """Returns whether requests need the key of an organisation.

    Args:
        configuration: The configuration in force; None if there is none.
    """
    return configuration is not None and bool(
        configuration.organisation_by_name
    )


def key_of(headers: http_codec.Headers) -> bytes:
    """Returns the key in the headers of a request (RFC 6750, section 2.1).

    Returns:
        The key; empty if there is none, if it is sent in another way, or if
        there are several headers with one.
    """
    values = [v for n, v in headers if n == platform_codec.KEY_HEADER]
    if len(values) != 1:
        return b''
    scheme, _, key = values[0].strip().partition(b' ')
    if scheme.lower() != platform_codec.KEY_SCHEME.lower():
        return b''
    return key.strip()


def headers_for_server(
    configuration: model.MeshConfiguration | None,
    headers: http_codec.Headers,
    organisation: model.Organisation | None,
) -> http_codec.Headers:
    """Returns the headers of a request with the name of its organisation.

    The key and a name that the caller claims are left out. Without
    organisations in the configuration these headers have no meaning here.

    Args:
        configuration: The configuration in force; None if there is none.
        headers: Headers of the request as its caller sent it.
        organisation: Organisation that sent the request; None if it is not
            known.
    """
    if not requires_keys(configuration):
        return headers
    replaced = (platform_codec.KEY_HEADER, platform_codec.ORGANISATION_HEADER)
    kept = [item for item in headers if item[0] not in replaced]
    if organisation is not None:
        kept.append(
            (platform_codec.ORGANISATION_HEADER, organisation.name.encode())
        )
    return kept
