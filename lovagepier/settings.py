"""Settings of a process: read from an INI file and validated before use."""

import configparser
import re
from pathlib import Path

from lovagepier.errors import UserError

__all__ = [
    "Option",
    "Settings",
    "SettingsError",
    "load_settings",
    "parse_ini",
    "parse_settings",
    "parse_address",
    "parse_addresses",
    "parse_count",
    "parse_duration",
    "parse_name",
    "parse_one_of",
    "parse_size",
    "read_settings_file",
]

_SECONDS_PER_UNIT = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}
_BYTES_PER_UNIT = {"B": 1, "KB": 1000, "MB": 1_000_000, "KiB": 1024, "MiB": 1024**2}
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,62}\Z")


class SettingsError(UserError):
    """An unusable settings file; the message names file, section and key."""


class Option:
    """One key of a settings file.

    `parse` turns its text into a value and raises ValueError, `allowed` describes
    the allowed texts in error messages, `default` is a text or None for a key that
    must be set.
    """

    __slots__ = ("allowed", "default", "parse")

    def __init__(self, parse, allowed, default=None):
        self.parse = parse
        self.allowed = allowed
        self.default = default


def parse_name(text):
    """Return `text` if it is a valid name of up to 63 characters."""
    if not _NAME.match(text):
        raise ValueError
    return text


def parse_address(text):
    """Return (host, port) of HOST:PORT; an IPv6 host may be in brackets."""
    host, _, port = text.rpartition(":")
    number = int(port)
    if not host or not 0 <= number <= 65535:
        raise ValueError
    return host.strip("[]"), number


def parse_addresses(text):
    """Return (host, port) pairs of a list separated by commas or spaces."""
    return [parse_address(part) for part in text.replace(",", " ").split()]


def _parse_url(text):
    if text and not re.match(r"https?://[^\s/]+", text):
        raise ValueError
    return text.rstrip("/")


def _parse_urls(text):
    return [_parse_url(part) for part in text.replace(",", " ").split()]


def parse_duration(text):
    """Return the seconds in a duration with a unit, such as 500ms."""
    match = re.fullmatch(r"(\d+(?:\.\d+)?)\s*(ms|s|m|h)", text)
    if not match:
        raise ValueError
    return float(match[1]) * _SECONDS_PER_UNIT[match[2]]


def parse_size(text):
    """Return the bytes in a size with a unit, such as 4 MiB."""
    match = re.fullmatch(r"(\d+(?:\.\d+)?)\s*(B|KB|MB|KiB|MiB)", text)
    if not match:
        raise ValueError
    return int(float(match[1]) * _BYTES_PER_UNIT[match[2]])


def parse_count(minimum, maximum):
    """Return a parser of integers from `minimum` to `maximum`."""

    def parse(text):
        number = int(text)
        if not minimum <= number <= maximum:
            raise ValueError
        return number

    return parse


def parse_one_of(*names):
    """Return a parser that accepts only `names`."""

    def parse(text):
        if text not in names:
            raise ValueError
        return text

    return parse


def _parse_hashes(text):
    hashes = text.replace(",", " ").split()
    if any(not re.fullmatch(r"[0-9a-f]{64}", item) for item in hashes):
        raise ValueError
    return hashes


def _count(minimum, maximum, default):
    allowed = f"a whole number from {minimum} to {maximum}"
    return Option(parse_count(minimum, maximum), allowed, str(default))


def _duration(default):
    return Option(
        parse_duration, "a time with unit ms, s, m or h, such as 500ms", default
    )


_TEXT = Option(str, "any text", "")
_ADDRESS_FORMAT = "HOST:PORT with a port from 0 to 65535"
_URL_FORMAT = "a URL that begins with http:// or https://"
_HASHES = Option(
    _parse_hashes, "SHA-256 digests in lower-case hex, apart by spaces", ""
)

_SCHEMA = {
    "node": {
        "name": Option(parse_name, "a name of letters, digits, '.', '_' or '-'"),
        "zone": Option(parse_name, "the name of an availability zone"),
        "region": Option(parse_name, "the name of a region"),
    },
    "callers": {
        "listen": Option(parse_address, _ADDRESS_FORMAT),
        "advertise": Option(_parse_url, _URL_FORMAT, ""),
        "threads": _count(4, 2000, 128),
        "max_body": Option(
            parse_size, "a size with unit B, KB, MB, KiB or MiB", "4 MiB"
        ),
        "longest_deadline": _duration("120s"),
        "default_deadline": _duration("30s"),
        "entry_ttl": _duration("5s"),
        "certificate": _TEXT,
        "private_key": _TEXT,
    },
    "operators": {
        "listen": Option(parse_address, _ADDRESS_FORMAT),
        "threads": _count(2, 100, 8),
        "key_hashes": _HASHES,
        "certificate": _TEXT,
        "private_key": _TEXT,
    },
    "peers": {
        "listen": Option(parse_address, _ADDRESS_FORMAT),
        "advertise": Option(parse_address, _ADDRESS_FORMAT, ""),
        "key": Option(str, "the key shared by all nodes"),
        "accept_key_hashes": _HASHES,
        "seeds": Option(parse_addresses, "HOST:PORT addresses, apart by spaces", ""),
        "certificate": _TEXT,
        "private_key": _TEXT,
    },
    "platform": {
        "store": Option(_parse_url, _URL_FORMAT),
        "store_kind": Option(
            parse_name, "the name of a registered store adapter", "etcd"
        ),
        "hosts": Option(_parse_url, _URL_FORMAT, ""),
        "weights": Option(_parse_url, _URL_FORMAT, ""),
        "timeout": _duration("1s"),
        "calls_per_second": _count(1, 2000, 50),
    },
    "pools": {
        "policy": Option(parse_name, "the name of a registered policy", "finish-time"),
        "max_waiting": _count(1, 100_000, 2000),
        "first_slots": _count(1, 1000, 8),
        "home_answer": _duration("500ms"),
        "report_period": _duration("500ms"),
    },
    "ledger": {
        "shards": _count(1, 256, 8),
        "lease": _duration("6s"),
        "batch_every": _duration("50ms"),
        "claim_timeout": _duration("3s"),
        "horizon": _duration("24h"),
    },
    "logs": {
        "level": Option(
            parse_one_of("debug", "info", "warning", "error"),
            "debug, info, warning or error",
            "info",
        ),
        "format": Option(parse_one_of("json", "console"), "json or console", "json"),
    },
}


class Settings:
    """Validated settings; `key` of `[section]` becomes attribute `section_key`."""

    __slots__ = tuple(f"{s}_{k}" for s, keys in _SCHEMA.items() for k in keys)

    def __init__(self, values):
        for name, value in values.items():
            setattr(self, name, value)

    @property
    def callers_url(self):
        """The URL of this node that is given to callers."""
        host, port = self.callers_listen
        return self.callers_advertise or f"http://{host}:{port}"

    @property
    def peers_address(self):
        """The (host, port) of this node that is given to peers."""
        return self.peers_advertise or self.peers_listen


def load_settings(path):
    """Parse the settings file at `path`; raise `SettingsError`."""
    return parse_settings(read_settings_file(path), str(path))


def read_settings_file(path):
    """Return the text of a settings file; raise `SettingsError` if unreadable."""
    try:
        return Path(path).read_text(encoding="utf-8")
    except OSError as exc:
        raise SettingsError(f"{path}: cannot be read: {exc.strerror}")
    except UnicodeDecodeError:
        raise SettingsError(f"{path}: is not UTF-8 text")


def parse_settings(text, source="settings"):
    """Parse INI `text`; raise `SettingsError` for the first fault found.

    `source` names the text in error messages.
    """
    settings = Settings(parse_ini(text, source, _SCHEMA))
    _check_consistency(settings, source)
    return settings


def parse_ini(text, source, schema):
    """Return {"section_key": value} of INI `text`, validated against `schema`.

    `schema` is {section: {key: Option}}. A section with None in place of its keys
    may hold any keys; it is returned as a dict of texts under the section's name.
    Raise `SettingsError` for invalid INI, unknown or missing keys and texts that
    are not allowed.
    """
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    try:
        parser.read_string(text, source)
    except configparser.Error as exc:
        line = " ".join(str(exc).split())
        raise SettingsError(f"{source}: is not valid INI: {line}")
    _reject_unknown(parser, source, schema)
    values = {}
    for section, keys in schema.items():
        if keys is None:
            found = parser[section] if parser.has_section(section) else {}
            values[section] = dict(found)
            continue
        for key, option in keys.items():
            values[f"{section}_{key}"] = _value(parser, source, section, key, option)
    return values


def _reject_unknown(parser, source, schema):
    for section in parser.sections():
        if section not in schema:
            names = ", ".join(schema)
            raise SettingsError(
                f"{source}: section [{section}] does not exist; allowed: {names}"
            )
        if schema[section] is None:
            continue
        for key in parser[section]:
            if key not in schema[section]:
                names = ", ".join(schema[section])
                raise SettingsError(
                    f"{source}: [{section}] {key} does not exist; allowed: {names}"
                )


def _value(parser, source, section, key, option):
    text = parser.get(section, key, fallback=None)
    if text is None:
        text = option.default
    if text is None:
        raise SettingsError(
            f"{source}: [{section}] {key} is missing; allowed: {option.allowed}"
        )
    if text == "" and option.default == "":
        return "" if option.parse in (str, _parse_url, parse_address) else []
    try:
        return option.parse(text)
    except ValueError:
        raise SettingsError(
            f"{source}: [{section}] {key} = {text!r} is not allowed; "
            f"allowed: {option.allowed}"
        )


def _check_consistency(settings, source):
    section_by_address = {}
    for section in ("callers", "operators", "peers"):
        address = getattr(settings, f"{section}_listen")
        if address[1] and address in section_by_address:
            raise SettingsError(
                f"{source}: [{section}] listen = {address[0]}:{address[1]} is in use "
                f"by [{section_by_address[address]}]; allowed: an address of its own"
            )
        section_by_address[address] = section
    if settings.callers_default_deadline > settings.callers_longest_deadline:
        raise SettingsError(
            f"{source}: [callers] default_deadline is above longest_deadline; "
            f"allowed: up to {settings.callers_longest_deadline:g}s"
        )
    for section in ("callers", "operators", "peers"):
        pair = [
            bool(getattr(settings, f"{section}_{key}"))
            for key in ("certificate", "private_key")
        ]
        if pair[0] != pair[1]:
            raise SettingsError(
                f"{source}: [{section}] certificate and private_key go together; "
                "allowed: both or neither"
            )
