"""Settings of hemlockctl."""

import attrs

from hemlockgrade.config import base


@attrs.frozen(kw_only=True)
class ClientSettings:
    """Settings of the command-line tool.

    Attributes:
        daemon_addresses: Administration addresses to try, in this order.
        administration_token: Secret of the administration API.
        timeout_s: Time allowed for one call.
    """

    daemon_addresses: tuple[str, ...] = base.address_list()
    administration_token: str = base.token()
    timeout_s: float = base.positive(default=10.0)
