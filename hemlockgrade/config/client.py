"""Settings of hemlockctl."""

import attrs

from hemlockgrade.config import base


@attrs.frozen(kw_only=True)
class ClientSettings:
    """Settings of the command-line tool.

    Attributes:
        daemon_addresses: Administration addresses to try, in this order.
        administration_token: Secret of the administration API.
        timeout_s: Time allowed for one call, above the 4 s that a daemon
            spends on a change while the platform is down.
    """

    daemon_addresses: tuple[str, ...] = base.address_list()
    administration_token: str = base.token()
    timeout_s: float = base.positive(default=15.0)
