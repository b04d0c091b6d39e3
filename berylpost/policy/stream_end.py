"""Decides whether a stream that ended without an error is complete.

An answer may come with neither a length nor chunks and end with its connection. A
server that fails in the middle of such an answer closes the connection in the same
way, and so does the kernel for a process that is killed, so the framing alone does not
tell whether the stream is complete.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class EndedStream:
    """What is known of a stream that ended without an error.

    Attributes:
        framed: whether the answer had a length or chunks that mark its end.
        inside_event: whether it ended in the middle of an event.
        has_events: whether this answer brought any event; what an earlier attempt
            brought does not count, since that one was broken off.
        may_be_stopped: whether its server stopped the run, or may have done so, in
            order to move it.
        server_ended: whether the process of its server no longer runs.
    """

    framed: bool
    inside_event: bool
    has_events: bool
    may_be_stopped: bool
    server_ended: bool = False


def find_missing_end(stream: EndedStream) -> str:
    """Returns why a stream is not complete; empty if it is.

    Args:
        stream: the stream that ended.
    """
    if stream.inside_event:
        return "ended inside an event"
    if stream.framed:
        return ""
    if stream.may_be_stopped:
        return "closed after its run was stopped"
    if not stream.has_events:
        return "closed before its first event"
    if stream.server_ended:
        return "closed as its server ended"
    return ""
