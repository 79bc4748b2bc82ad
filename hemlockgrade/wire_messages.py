"""Conversion between the model and the messages of the control service."""

from collections.abc import Iterable
from collections.abc import Sequence
import zlib

import attrs
from google.protobuf import message

from hemlockgrade import configuration as configuration_module
from hemlockgrade import model
from hemlockgrade import serialization
from hemlockgrade.wire import control_pb2

# Shorter lists gain little and cost a call each.
MIN_PACKED_MEMBERS = 32
# A table of 8,200 members has 820 KB, a snapshot at most 1 MB.
MAX_UNPACKED_BYTES = 16 * 1024 * 1024
# Higher levels save a few percent for several times the processor time.
COMPRESSION_LEVEL = 1

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
    targets: Sequence[model.Target], complete: bool = False
) -> control_pb2.MemberBatch:
    """Encodes targets as one batch, a long one compressed."""
    members = [encode_member(t) for t in targets]
    if len(members) < MIN_PACKED_MEMBERS:
        return control_pb2.MemberBatch(members=members, complete=complete)
    whole = control_pb2.MemberBatch(members=members).SerializeToString()
    return control_pb2.MemberBatch(packed=_pack(whole), complete=complete)


def decode_members(batch: control_pb2.MemberBatch) -> list[model.Target]:
    """Decodes a batch of targets.

    Raises:
        ValueError: A state is unknown, or the packed part is malformed.
    """
    members = list(batch.members)
    if batch.packed:
        try:
            unpacked = control_pb2.MemberBatch.FromString(_unpack(batch.packed))
        except message.DecodeError as error:
            raise ValueError(f'malformed members: {error}') from error
        members += unpacked.members
    return [decode_member(m) for m in members]


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
        body=_pack(serialization.to_json(configuration)),
    )


def decode_snapshot(
    snapshot: control_pb2.Snapshot,
) -> configuration_module.Configuration:
    """Decodes a whole configuration.

    Raises:
        cattrs.BaseValidationError: The configuration has wrong fields.
        orjson.JSONDecodeError: The body is not JSON.
        ValueError: The body is not compressed or too large.
    """
    return serialization.from_json(
        _unpack(snapshot.body), configuration_module.Configuration
    )


def _pack(data: bytes) -> bytes:
    return zlib.compress(data, COMPRESSION_LEVEL)


def _unpack(data: bytes) -> bytes:
    unpacker = zlib.decompressobj()
    try:
        unpacked = unpacker.decompress(data, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise ValueError(f'malformed compressed data: {error}') from error
    if not unpacker.eof:
        raise ValueError('compressed data is cut or too large')
    return unpacked
