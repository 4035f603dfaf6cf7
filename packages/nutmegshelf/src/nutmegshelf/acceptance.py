"""Decide from the rows read how a publish request is accepted."""

import enum

import msgspec

from nutmegshelf import codecs, configuration, declarations, ids, platform


class IntentState(enum.Enum):
    """Whether a publish may still use the object that holds its set."""

    OPEN = "open"
    COLLECTING = "collecting"


class Intent(msgspec.Struct, frozen=True, kw_only=True):
    """A running publish, recorded so that the collector keeps its set."""

    publish_id: ids.PublishId
    digest: str
    opened_at_s: float
    state: IntentState = IntentState.OPEN

    @property
    def key(self) -> str:
        """Return the key of the object that the publish stores."""
        head = configuration.Head(
            version=ids.NO_VERSION, digest=self.digest, publish_id=self.publish_id
        )
        return configuration.set_key(head)


class PublishRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request to accept a validated declaration set."""

    declared: declarations.DeclarationSet
    digest: str
    publish_id: ids.PublishId
    operator: str
    now_s: float
    expected: ids.Version | None = None


class AlreadyAccepted(msgspec.Struct, frozen=True):
    """The publish was accepted earlier, so a repeated request changes nothing."""

    head: configuration.Head


class PublishIdReused(msgspec.Struct, frozen=True):
    """The publish id was used before for a different declaration set."""

    head: configuration.Head


class Commit(msgspec.Struct, frozen=True):
    """The transaction that accepts the set, and the revision that it creates."""

    transaction: platform.Transaction
    revision: configuration.Revision


def match_publish_id(
    request: PublishRequest, published: platform.Row, head: platform.Row
) -> AlreadyAccepted | PublishIdReused | None:
    """Return how an earlier publish used the publish id, or None for an unused one."""
    for row in (published, head):
        if not row.version:
            continue
        earlier = codecs.unpack(row.value, configuration.Head)
        if earlier.publish_id == request.publish_id:
            return (
                AlreadyAccepted(earlier)
                if earlier.digest == request.digest
                else PublishIdReused(earlier)
            )
    return None


def has_conflict(request: PublishRequest, head: platform.Row) -> bool:
    """Return whether a head is of another version than a publish expects."""
    if not head.version or request.expected is None:
        return False
    return codecs.unpack(head.value, configuration.Head).version != request.expected


def plan_commit(
    request: PublishRequest,
    base: configuration.Configuration | None,
    head: platform.Row,
    intent: platform.Row,
    oldest: configuration.Revision | None,
) -> Commit:
    """Return the transaction that accepts the set."""
    current = codecs.unpack(head.value, configuration.Head) if head.version else None
    version = current.version if current else ids.NO_VERSION
    if current is not None and (base is None or base.head.digest != current.digest):
        base = None
    accepted = configuration.Head(
        version=ids.Version(version + 1),
        digest=request.digest,
        publish_id=request.publish_id,
        operator=request.operator,
        accepted_at_s=request.now_s,
        base_digest=current.digest if current else "",
    )
    revision = configuration.make_revision(accepted, base, request.declared)
    published_key = configuration.publish_key(request.publish_id)
    transaction = platform.Transaction(
        conditions=(
            platform.Condition(head.key, head.version),
            platform.Condition(published_key, 0),
            # Fails if the collector fenced this publish, which changes the version of the intent.
            platform.Condition(intent.key, intent.version),
        ),
        writes=(
            platform.Write(head.key, codecs.pack(accepted)),
            platform.Write(published_key, codecs.pack(accepted)),
            platform.Write(configuration.history_key(accepted.version), codecs.pack(revision)),
            platform.Write(intent.key, None),
            *_delete_revision(oldest),
        ),
    )
    return Commit(transaction, revision)


def _delete_revision(oldest: configuration.Revision | None) -> tuple[platform.Write, ...]:
    if oldest is None:
        return ()
    return (
        platform.Write(configuration.history_key(oldest.head.version), None),
        platform.Write(configuration.publish_key(oldest.head.publish_id), None),
    )
