"""Conversion between the model and the messages of the control service."""

from collections.abc import Iterable

import attrs

from hemlockgrade import configuration as configuration_module
from hemlockgrade import model
from hemlockgrade import serialization
from hemlockgrade.wire import control_pb2

_MEMBER_FIELDS = tuple(
    field.name
    for field in attrs.fields(model.Target)
    if field.name in control_pb2.Member.DESCRIPTOR.fields_by_name
)


def encode_member(target: model.Target) -> control_pb2.Member:
    """Encodes a target for the wire."""
    return control_pb2.Member(
        **{name: getattr(target, name) for name in _MEMBER_FIELDS}
    )


def decode_member(member: control_pb2.Member) -> model.Target:
    """Decodes a target from the wire.

    Raises:
        ValueError: The state is unknown.
    """
    fields = {name: getattr(member, name) for name in _MEMBER_FIELDS}
    return model.Target(**{**fields, 'state': model.MemberState(member.state)})


def member_size(target: model.Target) -> int:
    """Returns the encoded size of a target, in bytes."""
    return encode_member(target).ByteSize() + 2


def encode_members(
    targets: Iterable[model.Target], complete: bool = False
) -> control_pb2.MemberBatch:
    """Encodes targets as one batch."""
    return control_pb2.MemberBatch(
        members=[encode_member(t) for t in targets], complete=complete
    )


def decode_members(batch: control_pb2.MemberBatch) -> list[model.Target]:
    """Decodes a batch of targets.

    Raises:
        ValueError: A state is unknown.
    """
    return [decode_member(m) for m in batch.members]


def encode_changes(changes: Iterable[model.Change]) -> control_pb2.ChangeBatch:
    """Encodes changes of the log as one batch."""
    return control_pb2.ChangeBatch(
        changes=[
            control_pb2.Change(
                number=change.number, body=serialization.to_json(change)
            )
            for change in changes
        ]
    )


def decode_changes(batch: control_pb2.ChangeBatch) -> list[model.Change]:
    """Decodes a batch of changes.

    Raises:
        cattrs.BaseValidationError: A change has wrong fields.
        orjson.JSONDecodeError: A change is not JSON.
    """
    return [
        serialization.from_json(change.body, model.Change)
        for change in batch.changes
    ]


def encode_snapshot(
    configuration: configuration_module.Configuration,
) -> control_pb2.Snapshot:
    """Encodes a whole configuration."""
    return control_pb2.Snapshot(
        version=configuration.version,
        body=serialization.to_json(configuration),
    )


def decode_snapshot(
    snapshot: control_pb2.Snapshot,
) -> configuration_module.Configuration:
    """Decodes a whole configuration.

    Raises:
        cattrs.BaseValidationError: The configuration has wrong fields.
        orjson.JSONDecodeError: The body is not JSON.
    """
    return serialization.from_json(
        snapshot.body, configuration_module.Configuration
    )
