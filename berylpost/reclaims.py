"""Handling of backend servers that join, receive a termination notice or are gone.

Owned by the relay's thread. `policy.reclaim` plans what happens to each stream on a
leaving server; this module carries the plan out.
"""

import logging
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Final

from .admission import AdmissionQueue
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
    """The result of moving one stream's KV cache; posted by the mover's callback."""

    stream_id: str
    source: str
    target: str
    moved: bool


class Reclaims:
    """Updates the pools from the table of backend servers.

    Args:
        streams: the relay's streams by id.
        queue: the admission queue, which holds the pools.
        attempts: the open attempts at engines.
        backends: the slot with the table of backend servers.
        members: the slot with the table of members.
        recorder: records decisions.
        mover: moves KV cache between engines; None when engines cannot do so.
        post: puts a message into the relay's mailbox; callable from any thread.
    """

    def __init__(
        self,
        *,
        streams: Mapping[str, Stream],
        queue: AdmissionQueue,
        attempts: Attempts,
        backends: Slot[Mapping[str, Backend]],
        members: Slot[Table],
        recorder: Recorder,
        mover: CacheMover | None,
        post: Callable[[Any], None],
    ) -> None:
        self._streams = streams
        self._queue = queue
        self._attempts = attempts
        self._backends = backends
        self._members = members
        self._recorder = recorder
        self._mover = mover
        self._post = post
        # Backend servers whose streams were planned when they named their end.
        self._planned: set[str] = set()

    def refresh_pools(self) -> None:
        """Applies the table of backend servers and reclaims those that leave."""
        table = self._backends.read()
        n_daemons = len(list_active(self._members.read()))
        groups = group_backends(table.values(), "engine")
        for key in groups.keys() - self._queue.pools.keys():
            self._queue.pools[key] = Pool(deployment=key[0], model=key[1])
        ending: set[str] = set()
        for key, pool in self._queue.pools.items():
            pool.set_backends(groups.get(key, ()), n_daemons)
            # A server that only says that it leaves finishes what it runs.
            ending |= {b for b in pool.leaving if table[b].deadline > 0}
        for backend_id in ending - self._planned:
            self._reclaim_backend(table[backend_id])
        self._planned = ending

    def _reclaim_backend(self, backend: Backend) -> None:
        """Plans for the streams on a leaving backend server and acts on the plans."""
        now = time.monotonic()
        affected = {
            s.request.id: s
            for s in self._streams.values()
            if s.state is StreamState.RUNNING and s.backend == backend.id
        }
        left_s = backend.deadline - time.time()
        open_streams = [self.describe_open(s, now) for s in affected.values()]
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
            self._carry_out(plan, affected[plan.id], backend)

    def describe_open(self, stream: Stream, now: float) -> OpenStream:
        """Describes a stream for planning: context, tokens left, seconds per token."""
        n_attempt = stream.n_tokens - stream.n_earlier_tokens
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
        pool = self._queue.find_pool(stream.request)
        choice = pool.choose(stream, time.monotonic()) if pool else None
        if plan.way is Way.RESTART or choice is None or self._mover is None:
            self._attempts.fail(stream, Failure.LEAVING)
            return
        target = choice.replica
        text = stream.request.prompt + stream.text.decode()

        def post_result(moved: bool) -> None:
            self._post(
                CacheMoved(
                    stream_id=plan.id, source=backend.id, target=target.id, moved=moved
                )
            )

        self._mover(text, backend.address, target.address, post_result)

    def handle_cache_moved(self, message: CacheMoved) -> None:
        """Retries a stream on another server after its cache transfer has ended."""
        stream = self._streams.get(message.stream_id)
        if (
            stream is None
            or stream.state is not StreamState.RUNNING
            or stream.backend != message.source
        ):
            return  # finished or retried elsewhere while the cache moved
        if message.moved:
            stream.preferred_backend = message.target
        preferred_backend = stream.preferred_backend
        self._attempts.fail(stream, Failure.LEAVING)
        stream.preferred_backend = preferred_backend
