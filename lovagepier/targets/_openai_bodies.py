"""Checks that a body has the form of an answer of the OpenAI API.

The API has no id that an engine must repeat. Bytes of another response within the
framing of a body show by its grammar only.
"""

import json

from lovagepier.targets._port import TargetBroken

__all__ = ["checked_json"]


def checked_json(chunks):
    """Yield all bytes of `chunks`; raise `TargetBroken` if they are not JSON."""
    body = b"".join(chunks)
    try:
        json.loads(body)
    except (ValueError, RecursionError):
        raise TargetBroken("the answer is not JSON")
    yield body
