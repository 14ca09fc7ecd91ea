"""Settings of an entry host on the users' platform."""

from lovagepier.settings import (
    Key,
    SettingsError,
    parse_ini,
    read_address,
    read_addresses,
    read_count,
    read_duration,
    read_name,
    read_one_of,
    read_settings_file,
)

__all__ = ["EntrySettings", "load_entry_settings", "parse_entry_settings"]

_ADDRESS = "HOST:PORT with a port from 0 to 65535"


def _fraction(text):
    number = float(text)
    if not 0 <= number <= 1:
        raise ValueError
    return number


def _amount(text):
    number = float(text)
    if not 0 <= number < 1e15:
        raise ValueError
    return number


def _timed(default=None):
    return Key(read_duration, "a time with unit ms, s, m or h, such as 500ms", default)


def _listen():
    return Key(read_address, _ADDRESS)


def _share(default):
    return Key(_fraction, "a number from 0 to 1", default)


def _quantity(default):
    return Key(_amount, "a number that isn't negative", default)


_SCHEMA = {
    "host": {
        "name": Key(read_name, "a name of letters, digits, '.', '_' or '-'"),
        "zone": Key(read_name, "the name of an availability zone"),
        "region": Key(read_name, "the name of a region"),
        "cores": _quantity("1"),
        "core_share": _quantity("1"),
        "link_mbps": _quantity("1000"),
        "first_start": Key(read_one_of("true", "false"), "true or false", "false"),
    },
    "zones": None,
    "callers": {
        "listen": _listen(),
        "directory": _listen(),
        "ready": _listen(),
        "directory_ttl_most": _timed("5s"),
    },
    "peers": {
        "listen": _listen(),
        "seeds": Key(read_addresses, "HOST:PORT addresses, apart by commas", ""),
    },
    "metrics": {"listen": _listen()},
    "store": {
        "address": _listen(),
        "lease_least": _timed("1s"),
    },
    "budgets": {
        "retry_ratio": _share("0.2"),
        "retry_slack": _quantity("50"),
        "quota_overage": _share("0.1"),
        "quota_slack": _quantity("0"),
        "quota_window": _timed("8s"),
    },
    "moves": {
        "exposure_share": _share("0.1"),
        "exposure_slack": _quantity("50"),
    },
    "shutdown": {"grace": _timed("8s")},
    "scheduling": {
        "max_waiting": Key(
            read_count(1, 100_000), "a whole number from 1 to 100000", "2000"
        ),
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


def _names():
    for section, keys in _SCHEMA.items():
        if keys is None:
            yield section
        else:
            yield from (f"{section}_{key}" for key in keys)


class EntrySettings:
    """Checked settings; `section.key` becomes attribute `section_key`.

    `zones` maps each availability zone to its region.
    """

    __slots__ = tuple(_names())

    def __init__(self, values):
        for name, value in values.items():
            setattr(self, name, value)


def parse_entry_settings(text, source="settings"):
    """Check INI `text`; raise `SettingsError` with the first fault."""
    cfg = EntrySettings(parse_ini(text, source, _SCHEMA))
    if cfg.zones.get(cfg.host_zone, cfg.host_region) != cfg.host_region:
        raise SettingsError(
            f"{source}: [host] region = {cfg.host_region} is not where [zones] has "
            f"{cfg.host_zone}; allowed: {cfg.zones[cfg.host_zone]}"
        )
    return cfg


def load_entry_settings(path):
    """Read and check the file at `path`; raise `SettingsError`."""
    return parse_entry_settings(read_settings_file(path), str(path))
