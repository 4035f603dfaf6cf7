"""Hold one accepted configuration and decide which one is in force."""

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
    """Describe the newest accepted configuration: the one row that a publish swaps."""

    version: ids.Version
    digest: str
    publish_id: ids.PublishId
    operator: str = ""
    accepted_at_s: float = 0.0
    base_digest: str = ""


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """Pair a head with the declarations that it names."""

    head: Head
    declarations: declarations.DeclarationSet


class Revision(msgspec.Struct, frozen=True, kw_only=True):
    """Keep in the history how a version differs from the one before."""

    head: Head
    delta: tuple[changes.Change, ...] | None = None
    changed: tuple[str, ...] = ()
    changed_count: int = 0


def set_key(head: Head) -> str:
    """Name the object that holds a version's set; no two publishes share one."""
    return f"configuration/set/{head.digest}-{head.publish_id}"


def history_key(version: int) -> str:
    """Name the history row of a version."""
    return f"{HISTORY_PREFIX}{version:012d}"


def publish_key(publish_id: ids.PublishId) -> str:
    """Name the row that settles a publish by its id."""
    return f"configuration/published/{publish_id}"


def intent_key(publish_id: ids.PublishId) -> str:
    """Name the row that keeps a running publish's set from being collected."""
    return f"{INTENT_PREFIX}{publish_id}"


def encode_set(declared: declarations.DeclarationSet) -> tuple[bytes, str]:
    """Give a set's bytes and their digest."""
    data = codecs.pack(declared)
    return data, codecs.digest(data)


def make_revision(
    head: Head, base: Configuration | None, declared: declarations.DeclarationSet
) -> Revision:
    """Describe a version for the history; large changes are left to the whole set."""
    old = base.declarations if base else declarations.DeclarationSet()
    found = changes.diff(old, declared)
    names = tuple(f"{change.kind}.{change.name}" for change in found)
    small = base is not None and len(codecs.pack(found)) <= _MAX_CHANGES_BYTES
    return Revision(
        head=head,
        delta=found if small else None,
        changed=names[:_MAX_CHANGED_NAMES],
        changed_count=len(names),
    )


@dataclasses.dataclass(slots=True)
class ActiveConfiguration:
    """Keep the configuration in force; its version only grows."""

    current: Configuration | None = None

    @property
    def version(self) -> ids.Version:
        """Give the version in force, or none."""
        return self.current.head.version if self.current else ids.NO_VERSION

    def is_newer(self, head: Head) -> bool:
        """Say whether a head is newer than what is in force."""
        return head.version > self.version

    def activate(self, accepted: Configuration) -> bool:
        """Put a configuration in force unless it is older; say whether it changed."""
        if not self.is_newer(accepted.head):
            return False
        self.current = accepted
        return True

    def derive(self, revision: Revision) -> Configuration | None:
        """Give the next configuration by its changes, or none where they don't fit."""
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
    """Give the configuration that bytes hold, or none where they aren't the head's."""
    if data is None or codecs.digest(data) != head.digest:
        return None
    return Configuration(head=head, declarations=codecs.unpack(data, declarations.DeclarationSet))
