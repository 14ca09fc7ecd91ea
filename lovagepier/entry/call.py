"""A caller's request as decoded by the entry host."""

from dataclasses import dataclass, field

import xxhash

from lovagepier.decisions.learning.durations import call_size

__all__ = ["Call", "fingerprint"]


@dataclass(slots=True)
class Call:
    """One request with its decoded head and its unchanged body.

    `timeout_s` is how long the caller waits, None if unspecified.
    `token_counts` is (prompt tokens, maximum output tokens), None if
    unspecified. `output_tokens_hint` is the caller's estimate of the output
    length, 0 if unspecified. `prefix_blocks` lists the (id, tokens) pairs of
    the prompt's blocks in order. `last_event_id` is the last event that a
    resuming caller received. `arrived_at` is in seconds of the event loop.
    """

    request_id: str
    method: str
    target: str
    host: str
    key: str
    timeout_s: float | None
    token_counts: tuple | None
    output_tokens_hint: int
    prefix_blocks: tuple
    last_event_id: str
    headers: list
    body: bytes = b""
    arrived_at: float = 0.0
    route: object = field(default=None, repr=False)
    account: object = field(default=None, repr=False)

    @property
    def path(self):
        """The request target without its query string."""
        return self.target.partition("?")[0]

    @property
    def prompt_tokens(self):
        """Prompt tokens, 0 for a call without token counts."""
        return self.token_counts[0] if self.token_counts else 0

    @property
    def output_tokens(self):
        """Estimated output tokens, 1 for a call without token counts."""
        if not self.token_counts:
            return 1
        limit = max(self.token_counts[1], 1)
        return min(self.output_tokens_hint, limit) if self.output_tokens_hint else limit

    @property
    def size(self):
        """The size of the call, see `decisions.durations`."""
        return call_size(self.prompt_tokens, self.output_tokens)

    @property
    def kind(self):
        """The service and the route: calls of one kind and size last about as long."""
        return self.route.service_for(self.request_id), self.route.name


def fingerprint(call):
    """Return a hash that is the same for every retry of `call` by its caller.

    It covers method, host, request target, account and body; the request id is
    left out.
    """
    digest = xxhash.xxh3_128()
    account = call.account.name if call.account else ""
    for part in (call.method, call.host, call.target, account):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(call.body)
    return digest.hexdigest()
