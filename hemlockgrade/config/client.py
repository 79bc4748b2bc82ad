"""Settings of hemlockctl."""

import attrs

from hemlockgrade.config import base


@attrs.frozen(kw_only=True)
class ClientSettings:
    """Settings of the command-line tool.

    Attributes:
        daemon_addresses: Administration addresses of daemons. They are called
            in this order until one responds.
        administration_token: Bearer token of the administration API.
        timeout_s: Timeout of one call, in seconds. Has to be above 6.9 s, the
            time after which a daemon gives up a change if the platform does
            not respond.
    """

    daemon_addresses: tuple[str, ...] = base.address_list()
    administration_token: str = base.token()
    timeout_s: float = base.positive(default=15.0)
