"""Hold one accepted configuration and decide which one is in force."""

import dataclasses

import msgspec

from nutmegshelf import codecs, declarations, ids

HEAD_KEY = "configuration/head"


class Head(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the newest accepted configuration: the one row that a publish swaps."""

    version: ids.Version
    digest: str
    publish_id: ids.PublishId
    operator: str = ""
    accepted_at_s: float = 0.0


class Accepted(msgspec.Struct, frozen=True, kw_only=True):
    """Pair a head with the declarations that it names."""

    head: Head
    declarations: declarations.DeclarationSet


def set_key(digest: str) -> str:
    """Name the object that holds a declaration set."""
    return f"configuration/set/{digest}"


def encode_set(declared: declarations.DeclarationSet) -> tuple[bytes, str]:
    """Give a set's bytes and their digest."""
    data = codecs.pack(declared)
    return data, codecs.digest(data)


@dataclasses.dataclass(slots=True)
class InForce:
    """Keep the configuration in force; its version only grows."""

    accepted: Accepted | None = None

    @property
    def version(self) -> ids.Version:
        """Give the version in force, or none."""
        return self.accepted.head.version if self.accepted else ids.NO_VERSION

    def wants(self, head: Head) -> bool:
        """Say whether a head is newer than what is in force."""
        return head.version > self.version

    def switch(self, accepted: Accepted) -> bool:
        """Put a configuration in force unless it is older; say whether it changed."""
        if not self.wants(accepted.head):
            return False
        self.accepted = accepted
        return True
