"""Settings of one process, from an INI file, checked whole before use."""

import configparser
import re
from pathlib import Path

from lovagepier.errors import UserError

__all__ = ["Settings", "SettingsError", "load_settings", "parse_settings"]

_UNITS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}
_SIZES = {"B": 1, "KB": 1000, "MB": 1_000_000, "KiB": 1024, "MiB": 1024**2}
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,62}\Z")


class SettingsError(UserError):
    """A settings file that can't be used; names file, section and key."""


class _Key:
    """One key: how to read it, its default, and what it allows in words."""

    __slots__ = ("allowed", "default", "read")

    def __init__(self, read, allowed, default=None):
        self.read = read
        self.allowed = allowed
        self.default = default


def _name(text):
    if not _NAME.match(text):
        raise ValueError
    return text


def _address(text):
    host, _, port = text.rpartition(":")
    number = int(port)
    if not host or not 0 <= number <= 65535:
        raise ValueError
    return host.strip("[]"), number


def _addresses(text):
    return [_address(part) for part in text.replace(",", " ").split()]


def _url(text):
    if text and not re.match(r"https?://[^\s/]+", text):
        raise ValueError
    return text.rstrip("/")


def _urls(text):
    return [_url(part) for part in text.replace(",", " ").split()]


def _duration(text):
    match = re.fullmatch(r"(\d+(?:\.\d+)?)\s*(ms|s|m|h)", text)
    if not match:
        raise ValueError
    return float(match[1]) * _UNITS[match[2]]


def _size(text):
    match = re.fullmatch(r"(\d+(?:\.\d+)?)\s*(B|KB|MB|KiB|MiB)", text)
    if not match:
        raise ValueError
    return int(float(match[1]) * _SIZES[match[2]])


def _count(least, most):
    def read(text):
        number = int(text)
        if not least <= number <= most:
            raise ValueError
        return number

    return read


def _one_of(*names):
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
    return _Key(_count(least, most), allowed, str(default))


def _timed(default):
    return _Key(_duration, "a time with unit ms, s, m or h, such as 500ms", default)


_TEXT = _Key(str, "any text", "")
_ADDRESS = "HOST:PORT with a port from 0 to 65535"
_URL = "a URL that begins with http:// or https://"
_HASHES = _Key(_hashes, "SHA-256 digests in lower-case hex, apart by spaces", "")

_SCHEMA = {
    "node": {
        "name": _Key(_name, "a name of letters, digits, '.', '_' or '-'"),
        "zone": _Key(_name, "the name of an availability zone"),
        "region": _Key(_name, "the name of a region"),
    },
    "callers": {
        "listen": _Key(_address, _ADDRESS),
        "advertise": _Key(_url, _URL, ""),
        "threads": _counted(4, 2000, 128),
        "max_body": _Key(_size, "a size with unit B, KB, MB, KiB or MiB", "4 MiB"),
        "longest_deadline": _timed("120s"),
        "default_deadline": _timed("30s"),
        "entry_ttl": _timed("5s"),
        "certificate": _TEXT,
        "private_key": _TEXT,
    },
    "operators": {
        "listen": _Key(_address, _ADDRESS),
        "threads": _counted(2, 100, 8),
        "key_hashes": _HASHES,
        "certificate": _TEXT,
        "private_key": _TEXT,
    },
    "peers": {
        "listen": _Key(_address, _ADDRESS),
        "advertise": _Key(_address, _ADDRESS, ""),
        "key": _Key(str, "the key shared by all nodes"),
        "accept_key_hashes": _HASHES,
        "seeds": _Key(_addresses, "HOST:PORT addresses, apart by spaces", ""),
        "certificate": _TEXT,
        "private_key": _TEXT,
    },
    "platform": {
        "store": _Key(_url, _URL),
        "store_kind": _Key(_name, "the name of a registered store adapter", "etcd"),
        "hosts": _Key(_url, _URL, ""),
        "weights": _Key(_url, _URL, ""),
        "timeout": _timed("1s"),
        "calls_per_second": _counted(1, 2000, 50),
    },
    "pools": {
        "policy": _Key(_name, "the name of a registered policy", "finish-time"),
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
        "level": _Key(
            _one_of("debug", "info", "warning", "error"),
            "debug, info, warning or error",
            "info",
        ),
        "format": _Key(_one_of("json", "console"), "json or console", "json"),
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
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as exc:
        raise SettingsError(f"{path}: cannot be read: {exc.strerror}")
    except UnicodeDecodeError:
        raise SettingsError(f"{path}: is not UTF-8 text")
    return parse_settings(text, str(path))


def parse_settings(text, source="settings"):
    """Check INI `text`; raise `SettingsError` with the first fault."""
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    try:
        parser.read_string(text, source)
    except configparser.Error as exc:
        line = " ".join(str(exc).split())
        raise SettingsError(f"{source}: is not valid INI: {line}")
    _refuse_unknown(parser, source)
    values = {}
    for section, keys in _SCHEMA.items():
        for key, rule in keys.items():
            values[f"{section}_{key}"] = _value(parser, source, section, key, rule)
    settings = Settings(values)
    _check_together(settings, source)
    return settings


def _refuse_unknown(parser, source):
    for section in parser.sections():
        if section not in _SCHEMA:
            names = ", ".join(_SCHEMA)
            raise SettingsError(
                f"{source}: section [{section}] does not exist; allowed: {names}"
            )
        for key in parser[section]:
            if key not in _SCHEMA[section]:
                names = ", ".join(_SCHEMA[section])
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
        return "" if rule.read in (str, _url, _address) else []
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
