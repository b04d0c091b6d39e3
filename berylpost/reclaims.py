"""What the relay does when backend servers come, leave and go.

Owned by the relay's thread. The plan for each stream on a leaving server is made in
`policy.reclaim`; this module carries it out.
"""

import logging
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Final

from .admission import WaitingRoom
from .attempts import Attempts
from .kernel import Slot
from .logs import log_event
from .messages import Backend
from .movers import CacheMover
from .policy.membership import Table, list_active
from .policy.reclaim import OpenStream, Plan, Way, plan_reclaim
from .policy.retry import Failure
from .policy.routing import CHARS_PER_TOKEN
from .pools import Pool, group_backends
from .recording import Recorder
from .streams import Stream, StreamState

LOGGER: Final = logging.getLogger(__name__)
DEFAULT_TOKEN_S: Final = 0.042


@dataclass(frozen=True, slots=True, kw_only=True)
class CacheMoved:
    """The mover's word on one stream."""

    stream_id: str
    source: str
    target: str
    moved: bool


class Reclaims:
    """Keeps the pools in step with the backend servers.

    Args:
        streams: of the relay, by id.
        waiting: the waiting room, with the pools.
        attempts: the engines' side.
        backends: the board's slot.
        members: the board's slot.
        recorder: of decisions.
        mover: moves KV cache between engines; None when they cannot.
        post: puts a message into the relay's mailbox, from any thread.
    """

    def __init__(
        self,
        *,
        streams: Mapping[str, Stream],
        waiting: WaitingRoom,
        attempts: Attempts,
        backends: Slot[Mapping[str, Backend]],
        members: Slot[Table],
        recorder: Recorder,
        mover: CacheMover | None,
        post: Callable[[Any], None],
    ) -> None:
        self._streams = streams
        self._waiting = waiting
        self._attempts = attempts
        self._backends = backends
        self._members = members
        self._recorder = recorder
        self._mover = mover
        self._post = post

    def renew_pools(self) -> None:
        """Takes the present table of backend servers; plans for those that leave."""
        table = self._backends.read()
        n_daemons = len(list_active(self._members.read()))
        groups = group_backends(table.values(), "engine")
        for key in groups.keys() - self._waiting.pools.keys():
            self._waiting.pools[key] = Pool(deployment=key[0], model=key[1])
        for key, pool in self._waiting.pools.items():
            before = pool.leaving
            pool.set_backends(groups.get(key, ()), n_daemons)
            for backend_id in pool.leaving - before:
                self._reclaim_backend(table[backend_id])

    def _reclaim_backend(self, backend: Backend) -> None:
        """Plans for the streams on a backend server that got notice."""
        now = time.monotonic()
        on_it = {
            s.request.id: s
            for s in self._streams.values()
            if s.state is StreamState.RUNNING and s.backend == backend.id
        }
        left_s = backend.deadline - time.time()
        open_streams = [self.describe_open(s, now) for s in on_it.values()]
        plans = plan_reclaim(
            open_streams, left_s=left_s, can_move=self._mover is not None
        )
        self._recorder.record(
            "reclaim",
            now=now,
            inputs={
                "streams": open_streams,
                "left_s": left_s,
                "can_move": self._mover is not None,
            },
            outcome=plans,
        )
        for plan in plans:
            self._carry_out(plan, on_it[plan.id], backend)

    def describe_open(self, stream: Stream, now: float) -> OpenStream:
        """Describes a stream for a plan: what it has, what is to come, its pace."""
        n_attempt = stream.n_tokens - stream.base_tokens
        pace = (now - stream.started_at) / n_attempt if n_attempt else DEFAULT_TOKEN_S
        n_prompt = len(stream.request.prompt) // CHARS_PER_TOKEN
        return OpenStream(
            id=stream.request.id,
            n_context=n_prompt + stream.n_tokens,
            n_left=stream.max_tokens - stream.n_tokens,
            token_s=pace,
        )

    def _carry_out(self, plan: Plan, stream: Stream, backend: Backend) -> None:
        log_event(
            LOGGER,
            "stream_planned",
            request=plan.id,
            backend=backend.id,
            way=plan.way,
            reason=plan.reason,
        )
        if plan.way is Way.FINISH:
            return
        pool = self._waiting.find_pool(stream.request)
        choice = pool.choose(stream, time.monotonic()) if pool else None
        if plan.way is Way.RESTART or choice is None or self._mover is None:
            self._attempts.fail(stream, Failure.LEAVING)
            return
        target = choice.replica
        text = stream.request.prompt + stream.text.decode()

        def go_on(moved: bool) -> None:
            self._post(
                CacheMoved(
                    stream_id=plan.id, source=backend.id, target=target.id, moved=moved
                )
            )

        self._mover(text, backend.address, target.address, go_on)

    def go_on(self, message: CacheMoved) -> None:
        """Goes on elsewhere once the mover has said whether the cache moved."""
        stream = self._streams.get(message.stream_id)
        if (
            stream is None
            or stream.state is not StreamState.RUNNING
            or stream.backend != message.source
        ):
            return  # finished or failed over while the cache moved
        if message.moved:
            stream.prefer = message.target
        prefer = stream.prefer
        self._attempts.fail(stream, Failure.LEAVING)
        stream.prefer = prefer
