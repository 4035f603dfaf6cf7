"""Decide which service admits a queue's new jobs when configurations give the queue to another one.

A queue's assignment names every service that has had the queue. Each of them has an admission for
the queue in its own partition, so that a transaction that stores a job can depend on it. A service
opens its admission only after those of the others are closed. So a job is stored at one service at
most, also while entries have different configurations.
"""

import hashlib

import msgspec

from nutmegshelf import ids, queues

QUEUES = "queues"
# Keys of rows are limited; longer names are replaced by their digest.
_MAX_NAME_BYTES = 160


class Assignment(msgspec.Struct, frozen=True, kw_only=True):
    """The services of a queue; the version is that of the configuration that chose the last one."""

    version: ids.Version
    service: ids.ServiceName
    former: tuple[ids.ServiceName, ...] = ()

    @property
    def services(self) -> tuple[ids.ServiceName, ...]:
        """Return all services that may have jobs of the queue."""
        return (self.service, *self.former)


class Admission(msgspec.Struct, frozen=True, kw_only=True):
    """Whether a service admits new jobs of a queue, and which services had the queue before.

    The version is that of the configuration under which the admission was opened or closed.
    """

    version: ids.Version
    is_open: bool = msgspec.field(name="open")
    former: tuple[ids.ServiceName, ...] = ()


def assignment_key(queue: queues.Queue) -> str:
    """Return the key of the row with a queue's assignment."""
    return f"{QUEUES}//{_make_name(queue)}"


def admission_key(service: ids.ServiceName, queue: queues.Queue) -> str:
    """Return the key of the row with a service's admission of a queue's jobs."""
    return f"{QUEUES}/{service}/{_make_name(queue)}"


def _make_name(queue: queues.Queue) -> str:
    # A queue may be declared again under another name.
    address = queue.address
    if len(address.encode()) <= _MAX_NAME_BYTES:
        return address
    return hashlib.blake2b(address.encode(), digest_size=16).hexdigest()


def assign(
    current: Assignment | None, service: ids.ServiceName, version: ids.Version
) -> Assignment | None:
    """Return the assignment to a service by a configuration, or None if a newer one differs."""
    if current is None:
        return Assignment(version=version, service=service)
    if current.service == service:
        return msgspec.structs.replace(current, version=max(current.version, version))
    if current.version >= version:
        return None
    former = {*current.services} - {service}
    return Assignment(version=version, service=service, former=tuple(sorted(former)))
