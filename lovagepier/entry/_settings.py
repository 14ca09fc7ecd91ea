"""Settings of an entry host on the users' platform."""

from lovagepier.settings import (
    Option,
    SettingsError,
    parse_address,
    parse_addresses,
    parse_count,
    parse_duration,
    parse_ini,
    parse_name,
    parse_one_of,
    read_settings_file,
)

__all__ = ["EntrySettings", "load_entry_settings", "parse_entry_settings"]

_ADDRESS_FORMAT = "HOST:PORT with a port from 0 to 65535"


def _parse_fraction(text):
    number = float(text)
    if not 0 <= number <= 1:
        raise ValueError
    return number


def _parse_amount(text):
    number = float(text)
    if not 0 <= number < 1e15:
        raise ValueError
    return number


def _parse_optional_amount(text):
    # A platform that does not know a field may leave its placeholder in the template.
    if text in ("", "off") or text.startswith("{{"):
        return None
    return _parse_amount(text)


def _parse_stated_amount(text):
    return _parse_optional_amount(text) or 0.0


def _duration(default=None):
    return Option(
        parse_duration, "a time with unit ms, s, m or h, such as 500ms", default
    )


def _address():
    return Option(parse_address, _ADDRESS_FORMAT)


def _fraction(default):
    return Option(_parse_fraction, "a number from 0 to 1", default)


def _amount(default):
    return Option(_parse_amount, "a number that isn't negative", default)


def _optional_amount():
    return Option(
        _parse_optional_amount, "a number that isn't negative, off or nothing", "off"
    )


def _stated_amount():
    """Return an option that a deployment may leave empty, which is read as 0."""
    return Option(
        _parse_stated_amount, "a number that isn't negative, off or nothing", "0"
    )


_SCHEMA = {
    "host": {
        "name": Option(parse_name, "a name of letters, digits, '.', '_' or '-'"),
        "zone": Option(parse_name, "the name of an availability zone"),
        "region": Option(parse_name, "the name of a region"),
        "cores": _amount("1"),
        "core_share": _amount("1"),
        "link_mbps": _amount("1000"),
        "memory_mb": _stated_amount(),
        "max_fds": _stated_amount(),
        "first_start": Option(parse_one_of("true", "false"), "true or false", "false"),
    },
    "zones": None,
    "callers": {
        "listen": _address(),
        "directory": _address(),
        "ready": _address(),
        "directory_ttl_most": _duration("5s"),
    },
    "peers": {
        "listen": _address(),
        "seeds": Option(parse_addresses, "HOST:PORT addresses, apart by commas", ""),
    },
    "metrics": {"listen": _address()},
    "store": {
        "address": _address(),
        "lease_least": _duration("1s"),
    },
    "budgets": {
        "retry_ratio": _fraction("0.2"),
        "retry_slack": _amount("50"),
        "quota_overage": _fraction("0.1"),
        "quota_slack": _amount("0"),
        "quota_window": _duration("8s"),
    },
    "targets": {
        "cold_overage": _optional_amount(),
        "cold_slack": _optional_amount(),
    },
    "moves": {
        "exposure_share": _fraction("0.1"),
        "exposure_slack": _amount("50"),
    },
    "shutdown": {"grace": _duration("8s")},
    "scheduling": {
        "max_waiting": Option(
            parse_count(1, 100_000), "a whole number from 1 to 100000", "2000"
        ),
        "pace": Option(parse_one_of("on", "off", "auto"), "on, off or auto", "auto"),
        "reserve_room": Option(parse_one_of("on", "off"), "on or off", "off"),
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


def _attribute_names():
    for section, keys in _SCHEMA.items():
        if keys is None:
            yield section
        else:
            yield from (f"{section}_{key}" for key in keys)


class EntrySettings:
    """Validated settings; `key` of `[section]` becomes attribute `section_key`.

    `zones` maps each availability zone to its region.
    """

    __slots__ = tuple(_attribute_names())

    def __init__(self, values):
        for name, value in values.items():
            setattr(self, name, value)

    @property
    def paces_targets(self):
        """Whether targets that start have a pace; "auto" follows the cold bound."""
        if self.scheduling_pace == "auto":
            return self.targets_cold_overage is not None
        return self.scheduling_pace == "on"


def parse_entry_settings(text, source="settings"):
    """Parse INI `text`; raise `SettingsError` for the first fault found.

    `source` names the text in error messages.
    """
    cfg = EntrySettings(parse_ini(text, source, _SCHEMA))
    if cfg.zones.get(cfg.host_zone, cfg.host_region) != cfg.host_region:
        raise SettingsError(
            f"{source}: [host] region = {cfg.host_region} is not where [zones] has "
            f"{cfg.host_zone}; allowed: {cfg.zones[cfg.host_zone]}"
        )
    return cfg


def load_entry_settings(path):
    """Parse the settings file at `path`; raise `SettingsError`."""
    return parse_entry_settings(read_settings_file(path), str(path))
