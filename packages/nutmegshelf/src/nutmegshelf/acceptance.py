"""Decide how a publish is accepted, from the rows that were read."""

import enum

import msgspec

from nutmegshelf import codecs, configuration, declarations, ids, platform


class IntentState(enum.Enum):
    """Say whether a publish may still use its set's object."""

    OPEN = "open"
    COLLECTING = "collecting"


class Intent(msgspec.Struct, frozen=True, kw_only=True):
    """Keep the set of a running publish from being collected."""

    publish_id: ids.PublishId
    digest: str
    opened_at_s: float
    state: IntentState = IntentState.OPEN

    @property
    def key(self) -> str:
        """Name the object that the publish puts."""
        head = configuration.Head(
            version=ids.NO_VERSION, digest=self.digest, publish_id=self.publish_id
        )
        return configuration.set_key(head)


class PublishRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Ask for a checked set to be accepted."""

    declared: declarations.DeclarationSet
    digest: str
    publish_id: ids.PublishId
    operator: str
    now_s: float
    expected: ids.Version | None = None


class AlreadyAccepted(msgspec.Struct, frozen=True):
    """Answer that the publish was accepted already."""

    head: configuration.Head


class PublishIdReused(msgspec.Struct, frozen=True):
    """Answer that the publish id belongs to another set."""

    head: configuration.Head


class Conflict(msgspec.Struct, frozen=True):
    """Answer that another version is in the table than the one expected."""

    current: configuration.Head


class Commit(msgspec.Struct, frozen=True):
    """Apply the transaction that accepts the set."""

    transaction: platform.Transaction
    revision: configuration.Revision


def match_publish_id(
    asked: PublishRequest, published: platform.Row, head: platform.Row
) -> AlreadyAccepted | PublishIdReused | None:
    """Say whether the publish id is known already, by its row or as the head's."""
    for row in (published, head):
        if not row.version:
            continue
        known = codecs.unpack(row.value, configuration.Head)
        if known.publish_id == asked.publish_id:
            return (
                AlreadyAccepted(known) if known.digest == asked.digest else PublishIdReused(known)
            )
    return None


def plan_commit(
    asked: PublishRequest,
    base: configuration.Configuration | None,
    head: platform.Row,
    intent: platform.Row,
    oldest: configuration.Revision | None,
) -> Commit | Conflict:
    """Make the one transaction that accepts a set, or name the conflict."""
    current = codecs.unpack(head.value, configuration.Head) if head.version else None
    version = current.version if current else ids.NO_VERSION
    if current is not None and asked.expected is not None and asked.expected != version:
        return Conflict(current)
    if current is not None and (base is None or base.head.digest != current.digest):
        base = None
    accepted = configuration.Head(
        version=ids.Version(version + 1),
        digest=asked.digest,
        publish_id=asked.publish_id,
        operator=asked.operator,
        accepted_at_s=asked.now_s,
        base_digest=current.digest if current else "",
    )
    revision = configuration.make_revision(accepted, base, asked.declared)
    published_key = configuration.publish_key(asked.publish_id)
    transaction = platform.Transaction(
        conditions=(
            platform.Condition(head.key, head.version),
            platform.Condition(published_key, 0),
            # A collector that fenced this publish has changed the intent's version.
            platform.Condition(intent.key, intent.version),
        ),
        writes=(
            platform.Write(head.key, codecs.pack(accepted)),
            platform.Write(published_key, codecs.pack(accepted)),
            platform.Write(configuration.history_key(accepted.version), codecs.pack(revision)),
            platform.Write(intent.key, None),
            *_forget(oldest),
        ),
    )
    return Commit(transaction, revision)


def _forget(oldest: configuration.Revision | None) -> tuple[platform.Write, ...]:
    if oldest is None:
        return ()
    return (
        platform.Write(configuration.history_key(oldest.head.version), None),
        platform.Write(configuration.publish_key(oldest.head.publish_id), None),
    )
