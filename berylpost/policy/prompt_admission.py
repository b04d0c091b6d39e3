"""Whether a prompt is sent to the engine chosen for it, or refused at once.

The load answered here: more prompts than the engines can read, after a burst or the
loss of an availability zone. A queue that grows beyond the objective makes every
prompt late, and callers leave before their first token; so the queue is bounded at
what still begins on time, and the rest is told when to come back.
"""

from typing import Final

from .placement import BASE_FIRST_TOKEN_S

# Share of the objective that a queue may always take: a prompt whose own reading takes
# longer than the objective is served too while the engines are not crowded.
ALWAYS_SHARE: Final = 0.3
ON_TIME_SHARE: Final = 0.9  # of the objective; the rest is for what others just sent
MIN_RETRY_S: Final = 0.1  # below a gossip round the answer would be the same
MAX_RETRY_S: Final = 3.0  # queues change sooner than that


def decide_prompt_admission(
    *, queue_s: float, prefill_s: float, objective_s: float, waited_s: float
) -> float | None:
    """Judges whether a prompt may join an engine's queue.

    Args:
        queue_s: until the engine has read what was sent before.
        prefill_s: to read this prompt.
        objective_s: first token within it is on time.
        waited_s: since the request arrived.

    Returns:
        None to send it, else seconds after which the queue has drained enough.
    """
    free_s = objective_s * ON_TIME_SHARE - waited_s - BASE_FIRST_TOKEN_S - prefill_s
    limit_s = max(free_s, objective_s * ALWAYS_SHARE)
    if queue_s <= limit_s:
        return None
    return min(MAX_RETRY_S, max(MIN_RETRY_S, queue_s - limit_s))
