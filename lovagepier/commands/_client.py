"""Shared by the operator subcommands: the HTTP client and JSON output."""

import json
import os

import urllib3

from lovagepier.errors import UserError
from lovagepier.http_pools import PoolManager, request_whole

__all__ = ["OperatorClient", "add_client_options", "print_json"]

TIMEOUT_S = 10.0
# A whole answer may last for so many times the timeout of one read.
MAX_ANSWER_TIMEOUTS = 3.0
MAX_ANSWER_BYTES = 64 * 1024 * 1024


def add_client_options(parser):
    """Add the options for the node's URL, the operator key and JSON output."""
    parser.add_argument(
        "--node",
        default=os.environ.get("LOVAGEPIER_NODE", "http://127.0.0.1:8081"),
        help="operators' URL of any node (or LOVAGEPIER_NODE)",
    )
    parser.add_argument(
        "--key",
        default=os.environ.get("LOVAGEPIER_KEY", ""),
        help="operator key (or LOVAGEPIER_KEY)",
    )
    parser.add_argument("--json", action="store_true", help="print JSON")


def print_json(value):
    """Print a value as indented JSON."""
    print(json.dumps(value, indent=2, sort_keys=True))


class OperatorClient:
    """Calls the operators' API of one node."""

    def __init__(self, args):
        self._node = args.node.rstrip("/")
        self._key = args.key
        self._http = PoolManager(retries=False)

    def call(self, method, path, body=None, headers=None):
        """Return the JSON of the response.

        Raise `UserError` if the node does not answer or reports an error.
        """
        data = None if body is None else json.dumps(body).encode()
        all_headers = {"Authorization": f"Bearer {self._key}", **(headers or {})}
        try:
            status, _, content = request_whole(
                self._http,
                method,
                f"{self._node}{path}",
                MAX_ANSWER_BYTES,
                TIMEOUT_S * MAX_ANSWER_TIMEOUTS,
                body=data,
                headers=all_headers,
                timeout=TIMEOUT_S,
            )
        except urllib3.exceptions.HTTPError as exc:
            raise UserError(f"{self._node} did not answer: {type(exc).__name__}")
        try:
            answer = json.loads(content)
        except ValueError:
            raise UserError(f"{self._node} answered {status} without JSON")
        if status >= 400 and "title" in answer:
            raise UserError(f"{answer['title']}: {answer.get('detail', '')}")
        return answer
