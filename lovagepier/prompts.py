"""Prompt text, its length in tokens, and chained hashes of its blocks."""

import xxhash

__all__ = ["block_hashes", "prompt_text", "prompt_tokens"]

BLOCK_CHARS = 256
CHARS_PER_TOKEN = 4
MAX_BLOCKS = 256


def prompt_text(fields):
    """Return the prompt of an OpenAI-compatible body as one text.

    Raise ValueError where messages or prompt have another shape.
    """
    if "messages" in fields:
        messages = fields["messages"]
        if not isinstance(messages, list) or not messages:
            raise ValueError("messages must be a list with at least one entry")
        return "\n".join(_message_text(message) for message in messages)
    prompt = fields.get("prompt", "")
    if isinstance(prompt, list) and all(isinstance(part, str) for part in prompt):
        return "\n".join(prompt)
    if not isinstance(prompt, str):
        raise ValueError("prompt must be text or a list of texts")
    return prompt


def _message_text(message):
    if not isinstance(message, dict):
        raise ValueError("each message must be an object")
    content = message.get("content", "")
    if isinstance(content, list):
        parts = [part.get("text", "") for part in content if isinstance(part, dict)]
        content = "".join(part for part in parts if isinstance(part, str))
    if content is None:
        content = ""
    if not isinstance(content, str):
        raise ValueError("a message's content must be text")
    return f"{message.get('role', '')}: {content}"


def prompt_tokens(text):
    """Return the estimated number of tokens of a text, at least 1."""
    return max(1, len(text) // CHARS_PER_TOKEN)


def block_hashes(text):
    """Return the hash of each whole leading block, chained to the one before.

    Equal hashes at one position mean equal text up to the block's end.
    """
    digest = xxhash.xxh3_64()
    hashes = []
    whole = min(len(text) // BLOCK_CHARS, MAX_BLOCKS)
    for number in range(whole):
        start = number * BLOCK_CHARS
        digest.update(text[start : start + BLOCK_CHARS].encode("utf-8", "replace"))
        hashes.append(digest.intdigest())
    return tuple(hashes)
