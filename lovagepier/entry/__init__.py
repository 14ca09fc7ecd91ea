"""An entry host: accepts callers' requests, schedules them and relays responses."""
