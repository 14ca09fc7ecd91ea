"""Settings of one process, from an INI file, checked whole before use."""

import configparser
import re
from pathlib import Path

from lovagepier.errors import UserError

__all__ = [
    "Key",
    "Settings",
    "SettingsError",
    "load_settings",
    "parse_ini",
    "parse_settings",
    "read_address",
    "read_addresses",
    "read_count",
    "read_duration",
    "read_name",
    "read_one_of",
    "read_size",
    "read_settings_file",
]

_UNITS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}
_SIZES = {"B": 1, "KB": 1000, "MB": 1_000_000, "KiB": 1024, "MiB": 1024**2}
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,62}\Z")


class SettingsError(UserError):
    """A settings file that can't be used; names file, section and key."""


class Key:
    """One key: how to read it, its default, and what it allows in words."""

    __slots__ = ("allowed", "default", "read")

    def __init__(self, read, allowed, default=None):
        self.read = read
        self.allowed = allowed
        self.default = default


def read_name(text):
    """Return a short name."""
    if not _NAME.match(text):
        raise ValueError
    return text


def read_address(text):
    """Return (host, port) of HOST:PORT."""
    host, _, port = text.rpartition(":")
    number = int(port)
    if not host or not 0 <= number <= 65535:
        raise ValueError
    return host.strip("[]"), number


def read_addresses(text):
    """Return the (host, port) pairs of a list."""
    return [read_address(part) for part in text.replace(",", " ").split()]


def _url(text):
    if text and not re.match(r"https?://[^\s/]+", text):
        raise ValueError
    return text.rstrip("/")


def _urls(text):
    return [_url(part) for part in text.replace(",", " ").split()]


def read_duration(text):
    """Return seconds of a time with a unit."""
    match = re.fullmatch(r"(\d+(?:\.\d+)?)\s*(ms|s|m|h)", text)
    if not match:
        raise ValueError
    return float(match[1]) * _UNITS[match[2]]


def read_size(text):
    """Return bytes of a size with a unit."""
    match = re.fullmatch(r"(\d+(?:\.\d+)?)\s*(B|KB|MB|KiB|MiB)", text)
    if not match:
        raise ValueError
    return int(float(match[1]) * _SIZES[match[2]])


def read_count(least, most):
    """Return a reader of whole numbers in a range."""

    def read(text):
        number = int(text)
        if not least <= number <= most:
            raise ValueError
        return number

    return read


def read_one_of(*names):
    """Return a reader of one of `names`."""

    def read(text):
        if text not in names:
            raise ValueError
        return text

    return read


def _hashes(text):
    hashes = text.replace(",", " ").split()
    if any(not re.fullmatch(r"[0-9a-f]{64}", item) for item in hashes):
        raise ValueError
    return hashes


def _counted(least, most, default):
    allowed = f"a whole number from {least} to {most}"
    return Key(read_count(least, most), allowed, str(default))


def _timed(default):
    return Key(read_duration, "a time with unit ms, s, m or h, such as 500ms", default)


_TEXT = Key(str, "any text", "")
_ADDRESS = "HOST:PORT with a port from 0 to 65535"
_URL = "a URL that begins with http:// or https://"
_HASHES = Key(_hashes, "SHA-256 digests in lower-case hex, apart by spaces", "")

_SCHEMA = {
    "node": {
        "name": Key(read_name, "a name of letters, digits, '.', '_' or '-'"),
        "zone": Key(read_name, "the name of an availability zone"),
        "region": Key(read_name, "the name of a region"),
    },
    "callers": {
        "listen": Key(read_address, _ADDRESS),
        "advertise": Key(_url, _URL, ""),
        "threads": _counted(4, 2000, 128),
        "max_body": Key(read_size, "a size with unit B, KB, MB, KiB or MiB", "4 MiB"),
        "longest_deadline": _timed("120s"),
        "default_deadline": _timed("30s"),
        "entry_ttl": _timed("5s"),
        "certificate": _TEXT,
        "private_key": _TEXT,
    },
    "operators": {
        "listen": Key(read_address, _ADDRESS),
        "threads": _counted(2, 100, 8),
        "key_hashes": _HASHES,
        "certificate": _TEXT,
        "private_key": _TEXT,
    },
    "peers": {
        "listen": Key(read_address, _ADDRESS),
        "advertise": Key(read_address, _ADDRESS, ""),
        "key": Key(str, "the key shared by all nodes"),
        "accept_key_hashes": _HASHES,
        "seeds": Key(read_addresses, "HOST:PORT addresses, apart by spaces", ""),
        "certificate": _TEXT,
        "private_key": _TEXT,
    },
    "platform": {
        "store": Key(_url, _URL),
        "store_kind": Key(read_name, "the name of a registered store adapter", "etcd"),
        "hosts": Key(_url, _URL, ""),
        "weights": Key(_url, _URL, ""),
        "timeout": _timed("1s"),
        "calls_per_second": _counted(1, 2000, 50),
    },
    "pools": {
        "policy": Key(read_name, "the name of a registered policy", "finish-time"),
        "max_waiting": _counted(1, 100_000, 2000),
        "first_slots": _counted(1, 1000, 8),
        "home_answer": _timed("500ms"),
        "report_period": _timed("500ms"),
    },
    "ledger": {
        "shards": _counted(1, 256, 8),
        "lease": _timed("6s"),
        "batch_every": _timed("50ms"),
        "claim_timeout": _timed("3s"),
        "horizon": _timed("24h"),
    },
    "logs": {
        "level": Key(
            read_one_of("debug", "info", "warning", "error"),
            "debug, info, warning or error",
            "info",
        ),
        "format": Key(read_one_of("json", "console"), "json or console", "json"),
    },
}


class Settings:
    """Checked settings; `section.key` becomes attribute `section_key`."""

    __slots__ = tuple(f"{s}_{k}" for s, keys in _SCHEMA.items() for k in keys)

    def __init__(self, values):
        for name, value in values.items():
            setattr(self, name, value)

    @property
    def callers_url(self):
        """The address that callers are told for this node."""
        host, port = self.callers_listen
        return self.callers_advertise or f"http://{host}:{port}"

    @property
    def peers_address(self):
        """The (host, port) that peers connect to."""
        return self.peers_advertise or self.peers_listen


def load_settings(path):
    """Read and check the file at `path`; raise `SettingsError`."""
    return parse_settings(read_settings_file(path), str(path))


def read_settings_file(path):
    """Return the text of a settings file; raise `SettingsError`."""
    try:
        return Path(path).read_text(encoding="utf-8")
    except OSError as exc:
        raise SettingsError(f"{path}: cannot be read: {exc.strerror}")
    except UnicodeDecodeError:
        raise SettingsError(f"{path}: is not UTF-8 text")


def parse_settings(text, source="settings"):
    """Check INI `text`; raise `SettingsError` with the first fault."""
    settings = Settings(parse_ini(text, source, _SCHEMA))
    _check_together(settings, source)
    return settings


def parse_ini(text, source, schema):
    """Return {"section_key": value} of INI `text` checked against `schema`.

    `schema` is {section: {key: Key}}; a section whose keys are None may hold
    any keys and becomes a dict of texts under the section's name.
    """
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    try:
        parser.read_string(text, source)
    except configparser.Error as exc:
        line = " ".join(str(exc).split())
        raise SettingsError(f"{source}: is not valid INI: {line}")
    _refuse_unknown(parser, source, schema)
    values = {}
    for section, keys in schema.items():
        if keys is None:
            found = parser[section] if parser.has_section(section) else {}
            values[section] = dict(found)
            continue
        for key, rule in keys.items():
            values[f"{section}_{key}"] = _value(parser, source, section, key, rule)
    return values


def _refuse_unknown(parser, source, schema):
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


def _value(parser, source, section, key, rule):
    text = parser.get(section, key, fallback=None)
    if text is None:
        text = rule.default
    if text is None:
        raise SettingsError(
            f"{source}: [{section}] {key} is missing; allowed: {rule.allowed}"
        )
    if text == "" and rule.default == "":
        return "" if rule.read in (str, _url, read_address) else []
    try:
        return rule.read(text)
    except ValueError:
        raise SettingsError(
            f"{source}: [{section}] {key} = {text!r} is not allowed; "
            f"allowed: {rule.allowed}"
        )


def _check_together(settings, source):
    listens = {}
    for section in ("callers", "operators", "peers"):
        address = getattr(settings, f"{section}_listen")
        if address[1] and address in listens:
            raise SettingsError(
                f"{source}: [{section}] listen = {address[0]}:{address[1]} is in use "
                f"by [{listens[address]}]; allowed: an address of its own"
            )
        listens[address] = section
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
