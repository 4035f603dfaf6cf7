"""Read callers' requests and write answers in the product's own form: JSON, named as its types."""

import msgspec
from nutmegshelf import exceptions, ids, jobs, queues
from nutmegshelf_http import server

_DEADLINE = b"request-timeout-ms"


class _Submission(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Hold what a caller says of a job; the entry adds its id and its queue."""

    spec: str
    steps: tuple[dict[str, object], ...]
    occurrences: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0


class JobCodec:
    """Translate jobs, states and counts."""

    def get_timeout_s(self, exchange: server.Exchange) -> float | None:
        """Give how long the caller waits, where it says so; raises RequestError."""
        value = exchange.get_header(_DEADLINE)
        if value is None:
            return None
        if not value.isdigit():
            detail = f"{_DEADLINE.decode()} is not a whole number of milliseconds"
            raise exceptions.RequestError(exceptions.ErrorKind.BAD_REQUEST, detail)
        return int(value) / 1000

    def decode_job(
        self, body: bytes, job: ids.JobId, queue: queues.Queue, accepted_ms: int
    ) -> jobs.Job:
        """Read a submitted job; raises RequestError."""
        try:
            found = msgspec.json.decode(body, type=_Submission)
            steps = tuple(_step(index, step) for index, step in enumerate(found.steps))
        except (msgspec.DecodeError, ValueError) as error:
            raise exceptions.RequestError(exceptions.ErrorKind.BAD_REQUEST, str(error)) from error
        return jobs.Job(
            job=job,
            queue=queue,
            spec=found.spec,
            steps=steps,
            occurrences=found.occurrences,
            first_due_ms=found.first_due_ms,
            interval_ms=found.interval_ms,
            accepted_ms=accepted_ms,
        )

    def encode_state(self, state: jobs.JobState) -> bytes:
        """Write a job's state."""
        return msgspec.json.encode({"state": state.value})

    def encode_pending(self, count: int) -> bytes:
        """Write a queue's count."""
        return msgspec.json.encode({"pending": count})


def _step(index: int, step: dict[str, object]) -> jobs.Step:
    unknown = sorted(step.keys() - set(jobs.Step.__struct_fields__))
    if unknown:
        raise ValueError(f"step {index}: there is no field {', '.join(unknown)}")
    try:
        return msgspec.convert(step, jobs.Step)
    except msgspec.ValidationError as error:
        raise ValueError(f"step {index}: {error}") from error
