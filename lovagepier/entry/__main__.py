"""Run one entry host with the settings file named in the environment."""

import gc
import os
import signal
import sys
import time

from lovagepier.entry._settings import load_entry_settings
from lovagepier.entry._signals import HANDLED_SIGNALS
from lovagepier.entry._sockets import open_sockets
from lovagepier.errors import UserError

SETTINGS_VARIABLE = "LOVAGEPIER_NODE_FILE"


def main():
    """Run until SIGTERM; return the exit code (1 for unusable settings)."""
    began_at = time.monotonic()
    # Callers may connect before the host can handle signals, which stay pending until
    # then instead of ending the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        cfg = load_entry_settings(path)
        sockets = open_sockets(cfg)
    except UserError as exc:
        print(f"lovagepier: {exc}", file=sys.stderr)
        return 1
    return _run(cfg, path, sockets, began_at)


def _run(cfg, path, sockets, began_at):
    # Slow imports come after the listening sockets are open; see `_sockets`. Modules
    # are never garbage, so collections meanwhile would only take time.
    gc.disable()
    import asyncio

    from lovagepier.entry._host import EntryHost
    from lovagepier.logs import set_up_logs

    gc.freeze()
    gc.enable()
    set_up_logs(cfg.logs_level, cfg.logs_format, sys.stdout)

    async def run():
        await EntryHost(cfg, path, sockets, began_at).run()

    asyncio.run(run())
    return 0


if __name__ == "__main__":
    code = main()
    sys.stdout.flush()
    # Actor threads may be blocked in store calls; nothing is left for them to do.
    os._exit(code)
