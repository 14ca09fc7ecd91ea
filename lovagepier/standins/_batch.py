"""Simulates continuous batching: prefill, decoding and a prefix cache."""

import json
import re
import threading
import time
from collections import OrderedDict, deque

from lovagepier.prompts import block_hashes, prompt_text, prompt_tokens

__all__ = ["Batch", "Sequence"]

STEP_S = 0.005
SLOWDOWN_PER_SEQUENCE = 0.05
EVICTION_LOSS_PROBABILITY = 0.1
_TOKENS_MARK = re.compile(r"\[\[tokens=(\d+)\]\]")
DEFAULT_ANSWER_TOKENS = 20


class Sequence:
    """One request inside the engine, with the tokens produced so far.

    A mark such as `[[tokens=30]]` in the prompt sets the length of the answer.
    """

    __slots__ = (
        "blocks",
        "buffer",
        "cancelled",
        "done",
        "id",
        "prefill_left",
        "prompt_tokens",
        "progress",
        "streamed",
        "tokens",
        "answer_tokens",
    )

    def __init__(self, request_id, fields):
        text = prompt_text(fields)
        marked = _TOKENS_MARK.search(text)
        requested = int(marked[1]) if marked else DEFAULT_ANSWER_TOKENS
        self.id = request_id
        self.answer_tokens = min(requested, int(fields.get("max_tokens") or 4096))
        self.blocks = block_hashes(text)
        self.prompt_tokens = prompt_tokens(text)
        self.prefill_left = self.prompt_tokens
        self.progress = 0.0
        self.tokens = 0
        self.streamed = bool(fields.get("stream"))
        self.buffer = bytearray()
        self.done = False
        self.cancelled = False

    def emit(self, count):
        """Append up to `count` tokens, and the `[DONE]` event after the last one."""
        for _ in range(min(count, self.answer_tokens - self.tokens)):
            content = f"{self.id}:{self.tokens} "
            self.tokens += 1
            if self.streamed:
                delta = {"choices": [{"index": 0, "delta": {"content": content}}]}
                self.buffer += b"data: " + json.dumps(delta).encode() + b"\n\n"
        if self.tokens >= self.answer_tokens:
            if self.streamed:
                self.buffer += b"data: [DONE]\n\n"
            self.done = True

    def response_body(self):
        """Return the response body of a request that is not streamed."""
        text = "".join(f"{self.id}:{n} " for n in range(self.tokens))
        return {
            "id": self.id,
            "choices": [
                {"index": 0, "message": {"role": "assistant", "content": text}}
            ],
            "usage": {
                "prompt_tokens": self.prompt_tokens,
                "completion_tokens": self.tokens,
            },
        }


class Batch:
    """A bounded batch that admits sequences in arrival order and runs in real time."""

    def __init__(self, options, faults):
        self._options = options
        self._faults = faults
        self._waiting = deque()
        self._running = []
        self._cache = OrderedDict()
        self._evicted = []
        self._changed = threading.Condition()
        self._prefilled = 0
        self._wasted = 0
        self._decoded = 0
        self._finished = 0

    def submit(self, sequence):
        """Append a sequence to the queue."""
        with self._changed:
            self._waiting.append(sequence)

    def cancel(self, sequence):
        """Stop a sequence; return False if it had ended.

        The prefill done so far counts as wasted.
        """
        with self._changed:
            if sequence.done:
                return False
            sequence.cancelled = True
            sequence.done = True
            self._wasted += sequence.prompt_tokens - sequence.prefill_left
            self._changed.notify_all()
        return True

    def load(self):
        """Return the numbers of (running, waiting) sequences."""
        with self._changed:
            return len(self._running), len(self._waiting)

    def counts(self):
        """Return the engine's counters since its start."""
        with self._changed:
            return {
                "prefill_tokens": int(self._prefilled),
                "wasted_prefill": int(self._wasted),
                "decoded_tokens": self._decoded,
                "finished": self._finished,
            }

    def take_evicted(self, rng):
        """Return the blocks evicted since the last call, less those lost at random."""
        with self._changed:
            evicted = self._evicted
            self._evicted = []
        return [block for block in evicted if rng.random() > EVICTION_LOSS_PROBABILITY]

    def wait(self, sequence, offset, seconds):
        """Return (bytes after `offset`, whether the sequence has ended).

        Waits up to `seconds` for bytes.
        """
        with self._changed:
            if len(sequence.buffer) <= offset and not sequence.done:
                self._changed.wait(seconds)
            return bytes(sequence.buffer[offset:]), sequence.done

    def wait_done(self, sequence):
        """Wait until a sequence has ended."""
        with self._changed:
            while not sequence.done:
                self._changed.wait(1.0)

    def run(self):
        """Advance the batch in real time; never returns."""
        last = time.monotonic()
        while True:
            time.sleep(STEP_S)
            now = time.monotonic()
            if not self._faults.value("freeze"):
                with self._changed:
                    self._step(now - last)
                    self._changed.notify_all()
            last = now

    def _step(self, seconds):
        seconds /= max(self._faults.value("slow", 1), 1)
        self._admit()
        self._prefill(seconds * self._options.prefill)
        self._decode(seconds)
        for sequence in [s for s in self._running if s.done]:
            self._running.remove(sequence)
            self._finished += not sequence.cancelled

    def _admit(self):
        while self._waiting and len(self._running) < self._options.slots:
            sequence = self._waiting.popleft()
            if sequence.done:
                continue
            self._look_up_prefix(sequence)
            self._running.append(sequence)

    def _look_up_prefix(self, sequence):
        hits = 0
        for block in sequence.blocks:
            if block not in self._cache:
                break
            hits += 1
        if sequence.blocks:
            saved = int(sequence.prompt_tokens * hits / len(sequence.blocks))
            sequence.prefill_left = max(sequence.prompt_tokens - saved, 1)

    def _add_to_cache(self, sequence):
        for block in sequence.blocks:
            self._cache[block] = None
            self._cache.move_to_end(block)
        while len(self._cache) > self._options.cache_blocks:
            block, _ = self._cache.popitem(last=False)
            self._evicted.append(block)

    def _prefill(self, budget):
        for sequence in self._running:
            if budget <= 0:
                return
            if sequence.prefill_left <= 0 or sequence.done:
                continue
            used = min(budget, sequence.prefill_left)
            sequence.prefill_left -= used
            budget -= used
            self._prefilled += used
            if sequence.prefill_left <= 0:
                self._add_to_cache(sequence)
                sequence.emit(1)
                self._decoded += 1

    def _decode(self, seconds):
        decoding = [s for s in self._running if s.prefill_left <= 0 and not s.done]
        pace = self._options.pace * (1.0 + SLOWDOWN_PER_SEQUENCE * len(decoding))
        for sequence in decoding:
            sequence.progress += seconds / pace
            count = int(sequence.progress)
            if count:
                sequence.progress -= count
                self._decoded += min(count, sequence.answer_tokens - sequence.tokens)
                sequence.emit(count)
