"""The listener on which the targets of this host announce themselves."""

from collections.abc import Callable
import time

import attrs
import cattrs
from loguru import logger
import orjson

from hemlockgrade import addresses
from hemlockgrade import admission
from hemlockgrade import http_codec
from hemlockgrade import membership_task
from hemlockgrade import model
from hemlockgrade import serialization

ANNOUNCEMENTS_PATH = '/v1/announcements'
# Three announcements, which come once a second.
SILENCE_S = 3.0


@attrs.frozen(kw_only=True)
class Announcement:
    """What a target says of itself.

    Attributes:
        target_id: Unique among the targets.
        service: Service that it runs.
        version: Version of the service.
        address: `host:port` at which it takes requests.
        slots: Requests that it runs at once.
        keep_alive_s: Time for which it keeps an idle connection open.
        instance_id: Changes when its process restarts; may be empty.
        leaving: True if it is to get no new work.
    """

    target_id: str = attrs.field(validator=attrs.validators.min_len(1))
    service: str = ''
    version: str = ''
    address: str = ''
    slots: int = 1
    keep_alive_s: float = 5.0
    instance_id: str = ''
    leaving: bool = False


@attrs.define
class _Local:
    announcement: Announcement
    silent_at: float


class LocalApi:
    """Takes announcements and passes them to membership and admission."""

    def __init__(
        self,
        members: membership_task.MemberTask,
        admission_side: admission.Admission,
        template: model.Target,
        clock: Callable[[], float] = time.monotonic,
    ):
        """Joins the parts.

        Args:
            members: Learns of each announcement.
            admission_side: Learns of the addresses and slots.
            template: Holds the fields that all targets of the host share.
            clock: Monotonic time in seconds.
        """
        self._members = members
        self._admission = admission_side
        self._template = template
        self._clock = clock
        self._locals_by_id: dict[str, _Local] = {}

    @property
    def target_ids(self) -> list[str]:
        """Targets that announced themselves and do not leave."""
        return list(self._locals_by_id)

    async def handle(self, request: http_codec.Request) -> http_codec.Response:
        """Answers an announcement with 200, or 400 with the problem."""
        if request.path != ANNOUNCEMENTS_PATH or request.method != 'POST':
            return _answer(404, {'error': f'POST to {ANNOUNCEMENTS_PATH}'})
        try:
            announcement = serialization.from_json(request.body, Announcement)
            if not announcement.leaving:
                _check(announcement)
        except cattrs.BaseValidationError as error:
            problems = serialization.field_errors(error)
            return _answer(400, {'error': '; '.join(problems)})
        except ValueError as error:
            return _answer(400, {'error': str(error)})
        if announcement.leaving:
            self.drain(announcement.target_id)
        else:
            self._announce(announcement)
        return _answer(200, {})

    def drain(self, target_id: str) -> None:
        """Lets a target get no new work; what is in flight goes on."""
        if self._locals_by_id.pop(target_id, None) is None:
            return
        logger.info('event=target_leaving target={}', target_id)
        self._members.post(membership_task.DrainRequested(target_id=target_id))
        self._set_admission()

    def expire(self) -> None:
        """Takes targets that fell silent from the admission side."""
        now = self._clock()
        silent = [k for k, v in self._locals_by_id.items() if now > v.silent_at]
        for target_id in silent:
            logger.warning('event=target_silent target={}', target_id)
            del self._locals_by_id[target_id]
        if silent:
            self._set_admission()

    def _announce(self, announcement: Announcement) -> None:
        known = self._locals_by_id.get(announcement.target_id)
        self._locals_by_id[announcement.target_id] = _Local(
            announcement, self._clock() + SILENCE_S
        )
        if known is None or known.announcement != announcement:
            logger.info(
                'event=target_announced target={} service={} version={}',
                announcement.target_id,
                announcement.service,
                announcement.version,
            )
            self._set_admission()
        self._members.post(
            membership_task.Announced(
                target=attrs.evolve(
                    self._template,
                    target_id=announcement.target_id,
                    service=announcement.service,
                    version=announcement.version,
                    slots=announcement.slots,
                ),
                instance_id=announcement.instance_id,
            )
        )

    def _set_admission(self) -> None:
        self._admission.set_targets(
            admission.LocalTarget(
                target_id=local.announcement.target_id,
                address=local.announcement.address,
                slots=local.announcement.slots,
                keep_alive_s=local.announcement.keep_alive_s,
            )
            for local in self._locals_by_id.values()
        )


def _check(announcement: Announcement) -> None:
    for name in ('service', 'version'):
        if not getattr(announcement, name):
            raise ValueError(f'{name} is empty; name the {name}')
    addresses.split(announcement.address)
    if announcement.slots < 1:
        raise ValueError('slots is below 1; give the requests run at once')


def _answer(status: int, value: dict) -> http_codec.Response:
    return http_codec.Response(
        status=status,
        headers=[(b'content-type', b'application/json')],
        body=orjson.dumps(value),
    )
