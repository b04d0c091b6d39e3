"""Bounds what a server may send in an answer besides the body.

The connections of both daemons parse answers with httptools and report to an
`AnswerFraming` which part they are in. The size of the body is bounded by whoever
buffers it.
"""

from typing import Final

# Servers send heads of a few hundred bytes; many may send more at the same time.
MAX_HEAD_BYTES: Final = 64 << 10
MAX_REASON_BYTES: Final = 256  # of a reason phrase; the rest of it is dropped
# A field costs about 150 bytes besides its text, so bytes alone do not bound memory.
MAX_HEAD_FIELDS: Final = 256
# To parse fields takes most of the time of an answer; trailers have a few.
MAX_TRAILER_FIELDS: Final = 256
MAX_INTERIM_ANSWERS: Final = 64
# Chunk sizes and chunk extensions between two pieces of the body.
MAX_CHUNK_HEAD_BYTES: Final = 64 << 10


# Other statuses are invalid (RFC 9110, section 15).
MIN_STATUS: Final = 100
MAX_STATUS: Final = 599


class OversizedAnswerError(Exception):
    """A part of an answer is larger than the bound given in the message."""


class InvalidStatusError(Exception):
    """The status of an answer is none of HTTP's."""


def check_status(status: int) -> None:
    """Checks the status of an answer.

    Raises:
        InvalidStatusError: it is not between 100 and 599.
    """
    if not MIN_STATUS <= status <= MAX_STATUS:
        raise InvalidStatusError(f"status {status:03d} is not valid")


class AnswerFraming:
    """Which part of an answer arrives on a connection, and how large it is.

    Attributes:
        in_trailers: whether trailer fields arrive; the body is complete then.
    """

    def __init__(self) -> None:
        self.begin_answer()

    def begin_answer(self) -> None:
        """Expects the head of an answer."""
        self.in_trailers = False
        self._in_head = True
        self._n_head_bytes = 0
        self._n_fields = 0
        self._n_trailer_fields = 0
        self._n_messages = 0
        self._n_chunk_head_bytes = 0
        self._has_body = False
        # A chunk was announced of which nothing has arrived; the same before this read.
        self._awaits_chunk = False
        self._awaited_chunk = False

    def begin_message(self) -> None:
        """Notes that another message, for example an interim answer, begins.

        Raises:
            OversizedAnswerError: too many interim answers have come.
        """
        self._n_messages += 1
        if self._n_messages > MAX_INTERIM_ANSWERS:
            raise OversizedAnswerError(f"more than {MAX_INTERIM_ANSWERS} answers")
        self._n_fields = 0
        self._awaits_chunk = self._awaited_chunk = False

    def end_head(self) -> None:
        """Notes that the head has ended."""
        self._in_head = False

    def add_field(self) -> bool:
        """Counts a field; returns whether it belongs to the head.

        Raises:
            OversizedAnswerError: the head has too many fields, or the trailers do.
        """
        if not self._in_head:
            self.in_trailers = True
            self._n_trailer_fields += 1
            if self._n_trailer_fields > MAX_TRAILER_FIELDS:
                raise OversizedAnswerError(
                    f"more than {MAX_TRAILER_FIELDS} trailer fields"
                )
            return False
        self._n_fields += 1
        if self._n_fields > MAX_HEAD_FIELDS:
            raise OversizedAnswerError(f"more than {MAX_HEAD_FIELDS} fields in a head")
        return True

    def begin_chunk(self) -> None:
        """Notes that the size of a chunk has arrived."""
        self._awaits_chunk = True
        self._awaited_chunk = False
        self._has_body = True

    def add_body(self) -> None:
        """Notes that a piece of the body has arrived."""
        self._awaits_chunk = False
        self._has_body = True

    def end_read(self, n_bytes: int) -> None:
        """Checks the bounds after all bytes of one read were parsed.

        Raises:
            OversizedAnswerError: the head or the head of a chunk is too large.
        """
        if self._in_head:
            self._n_head_bytes += n_bytes
            if self._n_head_bytes > MAX_HEAD_BYTES:
                raise OversizedAnswerError(f"head of more than {MAX_HEAD_BYTES} bytes")
            return
        # Any byte after the size of a chunk is part of it, unless it is the last one.
        if self._awaits_chunk and self._awaited_chunk:
            self.in_trailers = True
        self._awaited_chunk = self._awaits_chunk
        if self.in_trailers:
            return
        if self._has_body:
            self._n_chunk_head_bytes = 0
        else:
            self._n_chunk_head_bytes += n_bytes
        if self._n_chunk_head_bytes > MAX_CHUNK_HEAD_BYTES:
            raise OversizedAnswerError(
                f"chunk head of more than {MAX_CHUNK_HEAD_BYTES} bytes"
            )
        self._has_body = False
