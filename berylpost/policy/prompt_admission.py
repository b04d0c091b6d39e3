"""Prompt admission: sends a prompt to its chosen engine or refuses it immediately.

The policy is designed for more prompts than the engines can prefill, after a burst or
the loss of an availability zone. A queue that grows beyond the objective makes every
prompt late, and callers disconnect before their first token. The queue is therefore
bounded to prompts that still start on time, and other callers are told when to retry.
"""

from typing import Final

from .placement import BASE_FIRST_TOKEN_S

# Share of the objective that a queue may take in any case: a prompt whose own prefill
# takes longer than the objective is still served while the engines are not overloaded.
MIN_QUEUE_SHARE: Final = 0.3
# Share of the objective within which the first token must be predicted to arrive; the
# rest is reserved for prompts that other daemons have just sent.
ON_TIME_SHARE: Final = 0.9
# Within less than a gossip round, the answer would not change.
MIN_RETRY_AFTER_S: Final = 0.1
MAX_RETRY_AFTER_S: Final = 3.0  # queues change within less time than this


def decide_prompt_admission(
    *, queue_s: float, prefill_s: float, objective_s: float, waited_s: float
) -> float | None:
    """Decides whether a prompt may join an engine's queue.

    Args:
        queue_s: time until the engine has prefilled what was sent before, in seconds.
        prefill_s: time to prefill this prompt, in seconds.
        objective_s: objective for the time to first token, in seconds.
        waited_s: time since the request arrived, in seconds.

    Returns:
        None to send the prompt, otherwise the seconds after which the queue is
        expected to be short enough.
    """
    available_s = (
        objective_s * ON_TIME_SHARE - waited_s - BASE_FIRST_TOKEN_S - prefill_s
    )
    limit_s = max(available_s, objective_s * MIN_QUEUE_SHARE)
    if queue_s <= limit_s:
        return None
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, queue_s - limit_s))
