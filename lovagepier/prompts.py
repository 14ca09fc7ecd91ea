"""Prompt text of a request, its estimated token count and its block hashes."""

import xxhash

__all__ = ["block_hashes", "prompt_text", "prompt_tokens"]

BLOCK_CHARS = 256
CHARS_PER_TOKEN = 4
MAX_BLOCKS = 256


def prompt_text(fields):
    """Return the prompt in an OpenAI-compatible request body as one text.

    Raise ValueError if `messages` or `prompt` are of an unexpected type.
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
    """Return the estimated number of tokens in a text, at least 1."""
    return max(1, len(text) // CHARS_PER_TOKEN)


def block_hashes(text):
    """Return the hashes of a text's whole blocks, at most `MAX_BLOCKS` of them.

    Each hash covers the text from its start: equal hashes at the same index mean
    equal text up to the end of that block.
    """
    digest = xxhash.xxh3_64()
    hashes = []
    whole = min(len(text) // BLOCK_CHARS, MAX_BLOCKS)
    for number in range(whole):
        start = number * BLOCK_CHARS
        digest.update(text[start : start + BLOCK_CHARS].encode("utf-8", "replace"))
        hashes.append(digest.intdigest())
    return tuple(hashes)
