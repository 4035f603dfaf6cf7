"""Describe accepted configurations, and decide which one an entry uses."""

import dataclasses

import msgspec

from nutmegshelf import changes, codecs, declarations, ids

HEAD_KEY = "configuration/head"
HISTORY_PREFIX = "configuration/history/"
INTENT_PREFIX = "configuration/intent/"
COLLECTED_KEY = "configuration/collected"
MAX_HISTORY_VERSIONS = 8192
MAX_RETAINED_SETS = 64
_MAX_CHANGES_BYTES = 4096
_MAX_CHANGED_NAMES = 20


class Head(msgspec.Struct, frozen=True, kw_only=True):
    """The metadata of an accepted configuration; each publish replaces the row of the newest."""

    version: ids.Version
    digest: str
    publish_id: ids.PublishId
    operator: str = ""
    accepted_at_s: float = 0.0
    base_digest: str = ""


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted declaration set with its metadata."""

    head: Head
    declarations: declarations.DeclarationSet


class Revision(msgspec.Struct, frozen=True, kw_only=True):
    """The history row of a version: how it differs from the version before."""

    head: Head
    delta: tuple[changes.Change, ...] | None = None
    changed: tuple[str, ...] = ()
    changed_count: int = 0


def set_key(head: Head) -> str:
    """Return the key of the object with a version's set; each publish has an object of its own."""
    return f"configuration/set/{head.digest}-{head.publish_id}"


def history_key(version: int) -> str:
    """Return the key of a version's history row."""
    return f"{HISTORY_PREFIX}{version:012d}"


def publish_key(publish_id: ids.PublishId) -> str:
    """Return the key of the row that records a publish id as accepted."""
    return f"configuration/published/{publish_id}"


def intent_key(publish_id: ids.PublishId) -> str:
    """Return the key of the row that protects a running publish's set from the collector."""
    return f"{INTENT_PREFIX}{publish_id}"


def encode_set(declared: declarations.DeclarationSet) -> tuple[bytes, str]:
    """Return the encoded set and its digest."""
    data = codecs.pack(declared)
    return data, codecs.digest(data)


def make_revision(
    head: Head, base: Configuration | None, declared: declarations.DeclarationSet
) -> Revision:
    """Return the history row of a version; large changes are omitted, and readers load the set."""
    old = base.declarations if base else declarations.DeclarationSet()
    delta = changes.diff(old, declared)
    names = tuple(f"{change.kind}.{change.name}" for change in delta)
    is_small = base is not None and len(codecs.pack(delta)) <= _MAX_CHANGES_BYTES
    return Revision(
        head=head,
        delta=delta if is_small else None,
        changed=names[:_MAX_CHANGED_NAMES],
        changed_count=len(names),
    )


@dataclasses.dataclass(slots=True)
class ActiveConfiguration:
    """The configuration that an entry uses; its version never decreases."""

    current: Configuration | None = None

    @property
    def version(self) -> ids.Version:
        """Return the version in use, or NO_VERSION."""
        return self.current.head.version if self.current else ids.NO_VERSION

    def is_newer(self, head: Head) -> bool:
        """Return whether a head is newer than the configuration in use."""
        return head.version > self.version

    def activate(self, accepted: Configuration) -> bool:
        """Use a configuration if it is newer; return whether it is used now."""
        if not self.is_newer(accepted.head):
            return False
        self.current = accepted
        return True

    def derive(self, revision: Revision) -> Configuration | None:
        """Return the configuration after a revision, or None where the revision does not apply."""
        if self.current is None or revision.delta is None:
            return None
        if revision.head.base_digest != self.current.head.digest:
            return None
        if not self.is_newer(revision.head):
            return None
        try:
            declared = changes.apply(self.current.declarations, revision.delta)
        except (msgspec.DecodeError, KeyError):
            return None
        if encode_set(declared)[1] != revision.head.digest:
            return None
        return Configuration(head=revision.head, declarations=declared)


def decode_set(head: Head, data: bytes | None) -> Configuration | None:
    """Decode the set of a head, or return None where the digest of the data differs."""
    if data is None or codecs.digest(data) != head.digest:
        return None
    return Configuration(head=head, declarations=codecs.unpack(data, declarations.DeclarationSet))
