"""What the ends of a link state of themselves when it is opened.

Both ends send the formats that they can talk in, `OLDEST-NEWEST` (see `frames`), and
the name of their build as headers of the WebSocket upgrade and of its response. Builds
up to format 4 neither send these headers nor look at them.
"""

import re
from http import HTTPStatus

from lovagepier import build_name
from lovagepier.frames import FORMAT, OLDEST_FORMAT

__all__ = [
    "OWN_FORMATS",
    "PeerFormats",
    "UNSUPPORTED_STATUS",
    "add_headers",
    "own_headers",
    "read_headers",
    "refusal",
]

FORMATS_HEADER = "Lovagepier-Formats"
BUILD_HEADER = "Lovagepier-Build"
OWN_FORMATS = f"{OLDEST_FORMAT}-{FORMAT}"
# The response to a peer without a common format.
UNSUPPORTED_STATUS = HTTPStatus.UPGRADE_REQUIRED
# A newest format further ahead than this is taken for a mistake of the peer.
MAX_FORMATS_AHEAD = 50
MAX_BUILD_CHARS = 60

_FORMATS = re.compile(r"([1-9][0-9]{0,5})-([1-9][0-9]{0,5})", re.ASCII)
_BUILD = re.compile(r"[!-~]+", re.ASCII)


class PeerFormats:
    """The formats and the build that a peer stated.

    `number` is the newest format that both ends have, None if there is none. `build` is
    empty and `is_stated` False if the peer stated nothing that can be read. `fault` is
    a sentence on what is wrong with the statement, empty if nothing is.
    """

    __slots__ = ("build", "fault", "is_stated", "number", "text")

    def __init__(self, text=None, build=""):
        self.text = text or "none"
        self.build = build
        self.fault = ""
        self.is_stated = False
        self.number = OLDEST_FORMAT
        if text is not None:
            self._read(text)

    def _read(self, text):
        match = _FORMATS.fullmatch(text)
        oldest, newest = map(int, match.groups()) if match else (1, 0)
        if oldest > newest:
            self.fault = "the stated formats can't be read; the oldest is used"
            return
        self.is_stated = True
        self.number = min(newest, FORMAT)
        if newest < OLDEST_FORMAT or oldest > FORMAT:
            self.number = None
            self.fault = "no common format"
        elif newest > FORMAT + MAX_FORMATS_AHEAD:
            self.fault = "the stated format is far ahead; this build's is used"


def own_headers():
    """Return the headers that this build states, by name."""
    return {FORMATS_HEADER: OWN_FORMATS, BUILD_HEADER: build_name()}


def add_headers(connection, request, response):
    """State this build's formats in the response to an upgrade request."""
    for name, value in own_headers().items():
        if name not in response.headers:
            response.headers[name] = value


def read_headers(headers):
    """Return the `PeerFormats` in the headers of a request or a response."""
    stated = headers.get_all(FORMATS_HEADER)
    builds = headers.get_all(BUILD_HEADER)
    build = builds[0][:MAX_BUILD_CHARS] if builds else ""
    if not _BUILD.fullmatch(build):
        build = ""
    if not stated:
        return PeerFormats(None, build)
    # Several headers are joined, which is no range.
    return PeerFormats(", ".join(stated)[:MAX_BUILD_CHARS], build)


def refusal(connection):
    """Return the response to a peer without a common format."""
    return connection.respond(
        UNSUPPORTED_STATUS, f"no common format: this build has {OWN_FORMATS}\n"
    )
