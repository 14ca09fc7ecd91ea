"""A mixed fleet of processes, and callers of an account that uses up its quota."""

import asyncio
import random
from bisect import insort

from test.entry_builders import KEY, call, config, connect, raw_request, wait_until
from test.test_mixed_builds import MixedFleet
from trials.soak_fleet import HOSTS, Fleet

__all__ = ["MeteredFleet", "Quota"]

# What the settings allow beyond a quota, and over which time.
OVERAGE, WINDOW_S = 0.1, 8.0
USUAL_CORES = 1
# An account that stays within its quota: a call each `GAP_S`.
WITHIN_RATE_PER_S, WITHIN_BURST, GAP_S = 20.0, 20.0, 0.25
# How long callers that leave wait for a response.
PATIENCE_S = (0.03, 0.25)
PAUSE_S = 0.15
# Hosts get rosters four times a second.
KNOWN_AFTER_S = 1.0
# Four processes start on a busy machine.
START_S = 20.0


class Quota:
    """A quota in requests, and the `slack` that the settings allow beyond it.

    A part of the slack is for changes of the coordinator, whose successor knows the
    levels of a moment before; see `entry._coordination.budgets`.
    """

    def __init__(self, rate_per_s, burst, slack=0.0):
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.slack = slack

    def tenant(self, name):
        """Return the account with this quota, as in the stored configuration."""
        return {
            **{"name": name, "api_keys": [name], "priority": 1},
            **{"rate_per_s": self.rate_per_s, "burst": self.burst},
        }

    def most_beyond(self, ran):
        """Return by how many requests any window held more than the quota allows.

        `ran` are (sent at, arrived at). A request is charged between the two, so it
        counts in a window that has both, however long hosts and targets took.
        """
        most = float("-inf")
        for begin in sorted(sent for sent, _ in ran):
            ends = []
            for sent, arrived in ran:
                if sent >= begin and arrived - begin <= WINDOW_S:
                    insort(ends, arrived)
            for count, end in enumerate(ends, 1):
                earned = self.rate_per_s * (end - begin) + self.burst
                most = max(most, count - earned * (1.0 + OVERAGE) - self.slack)
        return most


class MeteredFleet(MixedFleet):
    """A mixed fleet with the accounts blue, metered and within.

    Blue has no quota, metered has `quota` and uses it up, within stays within its own.
    `left` are the ids of requests whose callers left. `cores` are those of hosts by
    name: the one with the most coordinates.
    """

    def __init__(self, folder, builds, quota, cores=None):
        super().__init__(folder, builds, True)
        budgets = {
            "quota_overage": OVERAGE,
            "quota_slack": quota.slack,
            "quota_window": f"{WINDOW_S}s",
        }
        extra = {
            f"n{number}": {
                "budgets": budgets,
                "host": {"cores": (cores or {}).get(f"n{number}", USUAL_CORES)},
            }
            for number in range(1, HOSTS + 1)
        }
        self.fleet = Fleet(folder, None, builds["old"], extra)
        self.fleet.registers_first = True
        self.quota = quota
        self.left = set()
        self._sent_at = {}
        self._rng = random.Random(1)

    async def start_hosts(self):
        """Start the hosts and wait until all of them know the accounts."""
        await self.fleet.start()
        for host in self.fleet.hosts:
            await wait_until(host.has_started, START_S)
        tenants = [
            {"name": "blue", "api_keys": [KEY], "priority": 1},
            self.quota.tenant("metered"),
            Quota(WITHIN_RATE_PER_S, WITHIN_BURST).tenant("within"),
        ]
        await self.fleet.store.write("op/config", config(100, tenants=tenants))
        for host in self.fleet.hosts:
            while (await call(host, "/read/x", "first", key="within")).status == 401:
                await asyncio.sleep(PAUSE_S)

    def begin(self, *callers):
        """Run coroutines, such as those of this class, until the end."""
        self._tasks += [asyncio.create_task(each) for each in callers]

    def _next(self, account, paths):
        self._number += 1
        request_id = f"{account}-{self._number}"
        self._sent_at[request_id] = asyncio.get_running_loop().time()
        hosts = self.fleet.live_hosts()
        path = paths[self._number % len(paths)]
        return hosts[self._number % len(hosts)], path, request_id

    async def _try(self, account, key, paths):
        """Send one request; return the response, None if its host was lost."""
        host, path, request_id = self._next(account, paths)
        try:
            response = await call(host, path, request_id, key=key)
        except (OSError, EOFError, TimeoutError) as exc:
            self.lost.append((request_id, host.name, type(exc).__name__))
            return None
        self.answers.append((request_id, host.name, response))
        return response

    async def stay(self, account, key, *paths):
        """Send one request after the other."""
        while not self._is_over:
            response = await self._try(account, key, paths)
            if response is None or response.status != 200:
                await asyncio.sleep(PAUSE_S)

    async def leave(self, *paths):
        """Leave before the response, and come back with another request."""
        while not self._is_over:
            host, path, request_id = self._next("metered", paths)
            patience_s = self._rng.uniform(*PATIENCE_S)
            try:
                reader, writer = await connect(host)
                writer.write(raw_request(path, request_id, key="metered"))
                async with asyncio.timeout(patience_s):
                    await reader.readuntil(b"\r\n\r\n")
            except TimeoutError:
                self.left.add(request_id)
                writer.close()
            except (OSError, EOFError):
                # The host was stopped or killed.
                await asyncio.sleep(PAUSE_S)
            else:
                writer.close()
                await asyncio.sleep(PAUSE_S)

    async def keep_within(self, path):
        """Send fewer requests than the quota of the account."""
        while not self._is_over:
            await self._try("within", "within", (path,))
            await asyncio.sleep(GAP_S)

    def ran(self):
        """Return {id: (sent at, arrived at)} of the metered requests at targets."""
        arrived = {}
        for target in (*self.fleet.targets.values(), *self.fleet.gone):
            rows = zip(target.arrivals, target.arrived_at, strict=True)
            for (request_id, _), at in rows:
                if request_id.startswith("metered"):
                    arrived[request_id] = min(at, arrived.get(request_id, at))
        return {each: (self._sent_at[each], at) for each, at in arrived.items()}

    async def spent(self):
        """Wait until the burst is spent and all hosts know so."""
        await wait_until(lambda: len(self.ran()) > 1.2 * self.quota.burst, START_S)
        await asyncio.sleep(KNOWN_AFTER_S)

    def check_quotas(self):
        """Check that metered never ran too much, and that within was not refused."""
        ran = self.ran()
        statuses = [r.status for i, _, r in self.answers if i.startswith("metered")]
        assert 429 in statuses
        assert len(ran) >= self.quota.burst
        assert self.quota.most_beyond(ran.values()) <= 0
        within = [r.status for i, _, r in self.answers if i.startswith("within")]
        assert 200 in within
        assert 429 not in within
