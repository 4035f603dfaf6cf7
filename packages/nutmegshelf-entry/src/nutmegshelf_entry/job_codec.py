"""Codec of the native job interface: JSON whose fields are those of the types of `jobs`."""

import msgspec
from nutmegshelf import codecs, exceptions, ids, jobs, queues
from nutmegshelf_http import server

_TIMEOUT_HEADER = b"request-timeout-ms"


class _Submission(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The body of a job submission; the entry adds the id and the queue."""

    spec: str
    steps: tuple[dict[str, object], ...]
    occurrences: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0


class JobCodec:
    """Decoder of submitted jobs and encoder of states and counts."""

    def get_timeout_s(self, exchange: server.Exchange) -> float | None:
        """Return the timeout that the caller set, if any; raises RequestError."""
        value = exchange.get_header(_TIMEOUT_HEADER)
        if value is None:
            return None
        if not value.isdigit():
            detail = f"{_TIMEOUT_HEADER.decode()} is not a whole number of milliseconds"
            raise exceptions.RequestError(exceptions.ErrorKind.BAD_REQUEST, detail)
        return int(value) / 1000

    def get_request_id(self, exchange: server.Exchange) -> str | None:
        """Return the id that the caller gave this request, if any."""
        value = exchange.get_header(b"request-id")
        return None if value is None else value.decode("latin-1")

    def decode_job(
        self, body: bytes, job: ids.JobId, queue: queues.Queue, accepted_ms: int
    ) -> jobs.Job:
        """Decode a submitted job; raises RequestError."""
        try:
            submission = codecs.decode_json(body, _Submission)
            steps = tuple(_decode_step(index, step) for index, step in enumerate(submission.steps))
        except (msgspec.DecodeError, ValueError) as error:
            raise exceptions.RequestError(exceptions.ErrorKind.BAD_REQUEST, str(error)) from error
        return jobs.Job(
            job=job,
            queue=queue,
            spec=submission.spec,
            steps=steps,
            occurrences=submission.occurrences,
            first_due_ms=submission.first_due_ms,
            interval_ms=submission.interval_ms,
            accepted_ms=accepted_ms,
        )

    def encode_state(self, state: jobs.JobState) -> bytes:
        """Encode the state of a job."""
        return msgspec.json.encode({"state": state.value})

    def encode_pending(self, count: int) -> bytes:
        """Encode the number of pending jobs of a queue."""
        return msgspec.json.encode({"pending": count})


def _decode_step(index: int, step: dict[str, object]) -> jobs.Step:
    unknown = sorted(step.keys() - set(jobs.Step.__struct_fields__))
    if unknown:
        raise ValueError(f"step {index}: there is no field {', '.join(unknown)}")
    try:
        return msgspec.convert(step, jobs.Step)
    except msgspec.ValidationError as error:
        raise ValueError(f"step {index}: {error}") from error
